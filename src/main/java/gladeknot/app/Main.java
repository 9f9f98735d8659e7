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

/** The command line: serves, checks files, or shows the status of a running controller. */
public final class Main {
  static final String VERSION = "gladeknot 0.1.0";
  private static final int BAD_SETTINGS = 2;

  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] args) {
    setUpLogging(System.getenv("LOG_LEVEL"));
    int code = run(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  /** Before any logger is made: they read their level once. */
  private static void setUpLogging(String level) {
    String wanted = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    String known = wanted.equals("error") || wanted.equals("debug") ? wanted : "info";
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  /** Runs a command; 0 also when the service was started and goes on. */
  static int run(String... args) {
    CommandLine cli = new CommandLine(CommandSpecs.root(VERSION));
    ParseResult parsed;
    try {
      parsed = cli.parseArgs(args);
    } catch (CommandLine.ParameterException e) {
      System.err.println(e.getMessage());
      return BAD_SETTINGS;
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
      return BAD_SETTINGS;
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

  private static Settings load(Path file) {
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
    Settings settings = load(file);
    Features features = loadFeatures(featureFiles);
    return settings == null || features == null ? BAD_SETTINGS : 0;
  }

  private static int checkPolicy(Path file) {
    List<String> faults = Policy.check(file);
    faults.forEach(fault -> System.err.println(file + ":" + fault));
    return faults.isEmpty() ? 0 : BAD_SETTINGS;
  }

  private static int serve(Path file, Path policyFile, List<Path> featureFiles) {
    Settings settings = load(file);
    Features features = loadFeatures(featureFiles);
    if (settings == null || features == null) {
      return BAD_SETTINGS;
    }
    if (policyFile != null && checkPolicy(policyFile) != 0) {
      return BAD_SETTINGS;
    }
    TaskTracer tracer;
    try {
      tracer = tracer(features);
    } catch (IOException e) {
      System.err.println("tracing.file: can't be written: " + e.getMessage());
      return BAD_SETTINGS;
    }
    Policy policy;
    try {
      policy = Policy.load(policyFile);
    } catch (IOException e) {
      System.err.println(policyFile + ": can't be read: " + e.getMessage());
      return BAD_SETTINGS;
    }
    new ControllerProcess(settings, features, policy, tracer).start();
    return 0;
  }

  private static TaskTracer tracer(Features features) throws IOException {
    Optional<PartialCuts.Tracing> tracing = features.partialCuts().flatMap(PartialCuts::tracing);
    return tracing.isPresent() ? FileTracing.open(tracing.get()) : TaskTracer.NONE;
  }
}
