package gladeknot.app;

import gladeknot.policy.Policy;
import gladeknot.settings.FeatureReader;
import gladeknot.settings.Features;
import gladeknot.settings.PartialCuts;
import gladeknot.settings.Settings;
import gladeknot.settings.SettingsReader;
import gladeknot.tracing.FileTracing;
import gladeknot.tracing.TaskTracer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import picocli.CommandLine;
import picocli.CommandLine.ParseResult;

/** Entry point: serves, checks files, or shows the status of a running controller. */
public final class Main {
  static final String VERSION = "gladeknot 0.1.0";
  private static final int EXIT_INVALID_INPUT = 2;

  private Main() {}

  /** Runs a command and exits with its exit code if that is not 0. */
  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    int code = run(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  /** Must run before the first logger is created: a logger reads its level only once. */
  private static void configureLogging(String level) {
    String requested = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    String supported = requested.equals("error") || requested.equals("debug") ? requested : "info";
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", supported);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  /**
   * Runs a command and returns its exit code; 0 also if the controller was started and keeps
   * running.
   */
  static int run(String... args) {
    CommandLine cli = new CommandLine(CommandSpecs.root(VERSION));
    ParseResult parsed;
    try {
      parsed = cli.parseArgs(args);
    } catch (CommandLine.ParameterException e) {
      System.err.println(e.getMessage());
      return EXIT_INVALID_INPUT;
    }
    List<CommandLine> commands = parsed.asCommandLineList();
    CommandLine chosen = commands.get(commands.size() - 1);
    if (chosen.isUsageHelpRequested()) {
      chosen.usage(System.out);
      return 0;
    }
    if (cli.isVersionHelpRequested()) {
      cli.printVersionHelp(System.out);
      return 0;
    }
    return execute(cli, parsed);
  }

  private static int execute(CommandLine cli, ParseResult parsed) {
    if (parsed.hasSubcommand()) {
      return runSubcommand(parsed.subcommand());
    }
    if (!parsed.hasMatchedOption(CommandSpecs.CONFIG)) {
      cli.usage(System.err);
      return EXIT_INVALID_INPUT;
    }
    return serve(
        parsed.matchedOptionValue(CommandSpecs.CONFIG, null),
        parsed.matchedOptionValue(CommandSpecs.POLICY, null),
        featureFiles(parsed));
  }

  private static int runSubcommand(ParseResult sub) {
    return switch (sub.commandSpec().name()) {
      case CommandSpecs.CHECK_CONFIG ->
          checkConfig(sub.matchedPositionalValue(0, null), featureFiles(sub));
      case CommandSpecs.CHECK_POLICY -> checkPolicy(sub.matchedPositionalValue(0, null));
      default ->
          new StatusCommand(System.out, System.err)
              .run(
                  sub.matchedPositionalValue(0, StatusCommand.DEFAULT_ADDRESS),
                  sub.hasMatchedOption(CommandSpecs.JSON));
    };
  }

  private static List<Path> featureFiles(ParseResult parsed) {
    return parsed.matchedOptionValue(CommandSpecs.FEATURE, List.<Path>of());
  }

  private static Settings loadSettings(Path file) {
    SettingsReader.Result result = SettingsReader.read(file);
    result.faults().forEach(fault -> System.err.println(file + ": " + fault));
    return result.settings();
  }

  private static Features loadFeatures(List<Path> files) {
    FeatureReader.Result result = FeatureReader.read(files);
    result.faults().forEach(System.err::println);
    return result.features();
  }

  private static int checkConfig(Path file, List<Path> featureFiles) {
    Settings settings = loadSettings(file);
    Features features = loadFeatures(featureFiles);
    return settings == null || features == null ? EXIT_INVALID_INPUT : 0;
  }

  private static int checkPolicy(Path file) {
    List<String> faults = Policy.check(file);
    faults.forEach(fault -> System.err.println(file + ":" + fault));
    return faults.isEmpty() ? 0 : EXIT_INVALID_INPUT;
  }

  private static int serve(Path file, Path policyFile, List<Path> featureFiles) {
    Settings settings = loadSettings(file);
    Features features = loadFeatures(featureFiles);
    if (settings == null || features == null) {
      return EXIT_INVALID_INPUT;
    }
    if (policyFile != null && checkPolicy(policyFile) != 0) {
      return EXIT_INVALID_INPUT;
    }
    TaskTracer tracer;
    try {
      tracer = openTracer(features);
    } catch (IOException e) {
      System.err.println("tracing.file: can't be written: " + e.getMessage());
      return EXIT_INVALID_INPUT;
    }
    Policy policy;
    try {
      policy = Policy.load(policyFile);
    } catch (IOException e) {
      System.err.println(policyFile + ": can't be read: " + e.getMessage());
      return EXIT_INVALID_INPUT;
    }
    new ControllerProcess(settings, features, policy, tracer).start();
    return 0;
  }

  private static TaskTracer openTracer(Features features) throws IOException {
    Optional<PartialCuts.Tracing> tracing = features.partialCuts().flatMap(PartialCuts::tracing);
    return tracing.isPresent() ? FileTracing.open(tracing.get()) : TaskTracer.NONE;
  }
}
