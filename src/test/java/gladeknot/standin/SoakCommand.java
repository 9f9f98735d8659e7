package gladeknot.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Plays seeds of {@link LoopbackSoak} one after the other and prints a line for each: {@code java
 * -cp target/gladeknot.jar:target/test-classes gladeknot.standin.SoakCommand FIRST_SEED SEEDS
 * [SECONDS]}. A failed seed leaves its schedule, logs and problems in {@code target/soak/}; the
 * same command plays it again. Exit 1 if a seed failed, 2 on bad arguments.
 */
public final class SoakCommand {
  private static final int FAILED = 1;
  private static final int BAD_ARGUMENTS = 2;
  private static final long DEFAULT_SECONDS = 25;
  private static final long MAX_SEEDS = 10_000;
  private static final long MAX_SECONDS = 3_600;
  private static final Path DIR = Path.of("target", "soak");

  private final List<String> faults = new ArrayList<>();

  private SoakCommand() {}

  /** Runs the command; never returns. */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  /** Runs the command; returns its exit code. */
  public static int run(String... args) {
    return new SoakCommand().parseAndPlay(args);
  }

  private int parseAndPlay(String[] args) {
    if (args.length < 2 || args.length > 3) {
      faults.add("usage: FIRST_SEED SEEDS [SECONDS]");
    }
    long first = number(args, 0, "FIRST_SEED", 0, Long.MAX_VALUE / 8, 0);
    long seeds = number(args, 1, "SEEDS", 1, MAX_SEEDS, 1);
    long seconds = number(args, 2, "SECONDS", 1, MAX_SECONDS, DEFAULT_SECONDS);
    if (!faults.isEmpty()) {
      faults.forEach(System.err::println);
      return BAD_ARGUMENTS;
    }
    int failed = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      failed += play(seed, seconds) ? 0 : 1;
    }
    System.out.println((seeds - failed) + " seeds passed, " + failed + " failed");
    return failed == 0 ? 0 : FAILED;
  }

  private long number(String[] args, int index, String name, long least, long most, long absent) {
    if (index >= args.length) {
      return absent;
    }
    try {
      long value = Long.parseLong(args[index]);
      if (value >= least && value <= most) {
        return value;
      }
      faults.add(name + ": must be from " + least + " to " + most + ": " + args[index]);
    } catch (NumberFormatException e) {
      faults.add(name + ": not a whole number: " + args[index]);
    }
    return absent;
  }

  private static boolean play(long seed, long seconds) {
    long begin = LoopbackServices.now();
    Path dir = DIR.resolve("seed-" + seed);
    List<String> problems = LoopbackSoak.problemsOf(dir, seed, seconds * 1000);
    System.out.printf(
        "seed %d%s: %s, %d s%n",
        seed,
        LoopbackSoak.isLarge(seed) ? " (large)" : "",
        problems.isEmpty() ? "passed" : "FAILED, see " + dir,
        (LoopbackServices.now() - begin) / 1_000_000);
    problems.forEach(problem -> System.out.println("  " + problem));
    return problems.isEmpty();
  }
}
