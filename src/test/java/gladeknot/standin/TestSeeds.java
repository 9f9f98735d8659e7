package gladeknot.standin;

import java.util.stream.LongStream;

/** Seeds of tests that draw faults at random. */
public final class TestSeeds {
  private static final String PROPERTY = "gladeknot.seeds";

  private TestSeeds() {}

  /**
   * Returns the seeds of the system property {@code gladeknot.seeds}, which has the form {@code
   * FIRST,COUNT}; the given seeds if it is not set.
   */
  public static LongStream selected(long... defaults) {
    String property = System.getProperty(PROPERTY, "");
    if (property.isEmpty()) {
      return LongStream.of(defaults);
    }
    String[] range = property.split(",");
    return LongStream.of(range(Long.parseLong(range[0]), Long.parseLong(range[1])));
  }

  /** Returns a number of consecutive seeds. */
  public static long[] range(long first, long count) {
    return LongStream.range(first, first + count).toArray();
  }
}
