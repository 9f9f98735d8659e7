package gladeknot.commit;

import gladeknot.tasks.Slice;

/** Decides, when a transaction is built, whether starts decided earlier may still be committed. */
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

  /** Called before a transaction is built. */
  void beginBatch();

  /** Returns whether a slice's uncommitted starts may still be committed. */
  boolean admits(Slice slice);

  /** Returns whether pending tasks wait for resources that a slice's ends free once committed. */
  boolean awaitsEnds(Slice slice);
}
