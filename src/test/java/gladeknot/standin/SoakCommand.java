package gladeknot.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs seeds of {@link LoopbackSoak} one after the other and prints a line for each: {@code java
 * -cp target/gladeknot.jar:target/test-classes gladeknot.standin.SoakCommand FIRST_SEED SEEDS
 * [SECONDS]}. A failed seed leaves its schedule, logs and problems in {@code target/soak/}. The
 * same command runs the seed again. The exit code is 1 if a seed failed, 2 on bad arguments.
 */
public final class SoakCommand {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_ARGUMENTS = 2;
  private static final long DEFAULT_SECONDS = 25;
  private static final long MAX_SEEDS = 10_000;
  private static final long MAX_SECONDS = 3_600;
  private static final Path DIR = Path.of("target", "soak");

  private final List<String> argumentFaults = new ArrayList<>();

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
      argumentFaults.add("usage: FIRST_SEED SEEDS [SECONDS]");
    }
    long first = number(args, 0, "FIRST_SEED", 0, Long.MAX_VALUE / 8, 0);
    long seeds = number(args, 1, "SEEDS", 1, MAX_SEEDS, 1);
    long seconds = number(args, 2, "SECONDS", 1, MAX_SECONDS, DEFAULT_SECONDS);
    if (!argumentFaults.isEmpty()) {
      argumentFaults.forEach(System.err::println);
      return EXIT_BAD_ARGUMENTS;
    }
    int failedSeeds = 0;
    for (long seed = first; seed < first + seeds; seed++) {
      failedSeeds += play(seed, seconds) ? 0 : 1;
    }
    System.out.println((seeds - failedSeeds) + " seeds passed, " + failedSeeds + " failed");
    return failedSeeds == 0 ? 0 : EXIT_FAILED;
  }

  private long number(
      String[] args, int index, String name, long min, long max, long defaultValue) {
    if (index >= args.length) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(args[index]);
      if (value >= min && value <= max) {
        return value;
      }
      argumentFaults.add(name + ": must be from " + min + " to " + max + ": " + args[index]);
    } catch (NumberFormatException e) {
      argumentFaults.add(name + ": not a whole number: " + args[index]);
    }
    return defaultValue;
  }

  private static boolean play(long seed, long seconds) {
    long startMicros = LoopbackServices.now();
    Path dir = DIR.resolve("seed-" + seed);
    List<String> problems = LoopbackSoak.problemsOf(dir, seed, seconds * 1000);
    System.out.printf(
        "seed %d%s: %s, %d s%n",
        seed,
        LoopbackSoak.isLarge(seed) ? " (large)" : "",
        problems.isEmpty() ? "passed" : "FAILED, see " + dir,
        (LoopbackServices.now() - startMicros) / 1_000_000);
    problems.forEach(problem -> System.out.println("  " + problem));
    return problems.isEmpty();
  }
}
