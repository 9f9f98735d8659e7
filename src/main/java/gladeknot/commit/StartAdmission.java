package gladeknot.commit;

import gladeknot.tasks.Slice;

/** Decides, when a transaction is built, on starts that were decided on earlier. */
public interface StartAdmission {
  /** Admits every start. */
  StartAdmission ALL =
      new StartAdmission() {
        @Override
        public void beginBatch() {}

        @Override
        public boolean admits(Slice slice) {
          return true;
        }

        @Override
        public boolean awaitsEnds(Slice slice) {
          return false;
        }
      };

  /** A transaction is about to be built. */
  void beginBatch();

  /** Whether a slice's uncommitted starts may still be committed. */
  boolean admits(Slice slice);

  /** Whether tasks wait for what the ends of a slice's tasks make free, once they are committed. */
  boolean awaitsEnds(Slice slice);
}
