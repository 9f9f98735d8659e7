package gladeknot.app;

import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import picocli.CommandLine.ParseResult;

/** The command line. */
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
    CommandSpec root = CommandSpec.create().name("gladeknot");
    root.usageMessage().description("A cluster scheduler: one of its controllers.");
    root.version(VERSION);
    root.addOption(
        OptionSpec.builder("--config")
            .paramLabel("FILE")
            .type(Path.class)
            .description("Serve with the platform's settings file (TOML).")
            .build());
    root.addOption(
        OptionSpec.builder("--policy")
            .paramLabel("FILE")
            .type(Path.class)
            .description("Operators' rules, laid over the shipped ones.")
            .build());
    root.addOption(help());
    root.addOption(
        OptionSpec.builder("-V", "--version")
            .versionHelp(true)
            .description("Print version.")
            .build());
    root.addSubcommand(
        "check-config", fileCommand("Check a settings file; exit 2 if it has faults."));
    root.addSubcommand(
        "check-policy", fileCommand("Check a policy file; exit 2 if it has faults."));
    CommandLine cli = new CommandLine(root);
    ParseResult parsed;
    try {
      parsed = cli.parseArgs(args);
    } catch (CommandLine.ParameterException e) {
      System.err.println(e.getMessage());
      return BAD_SETTINGS;
    }
    CommandLine chosen = parsed.asCommandLineList().get(parsed.asCommandLineList().size() - 1);
    if (chosen.isUsageHelpRequested()) {
      chosen.usage(System.out);
      return 0;
    }
    if (cli.isVersionHelpRequested()) {
      cli.printVersionHelp(System.out);
      return 0;
    }
    if (parsed.hasSubcommand()) {
      ParseResult sub = parsed.subcommand();
      Path file = sub.matchedPositional(0).getValue();
      return sub.commandSpec().name().equals("check-config")
          ? checkConfig(file)
          : checkPolicy(file);
    }
    if (!parsed.hasMatchedOption("--config")) {
      cli.usage(System.err);
      return BAD_SETTINGS;
    }
    ArgSpec policy = parsed.matchedOption("--policy");
    return serve(
        parsed.matchedOption("--config").getValue(), policy == null ? null : policy.getValue());
  }

  private static OptionSpec help() {
    return OptionSpec.builder("-h", "--help")
        .usageHelp(true)
        .description("Print this help.")
        .build();
  }

  private static CommandSpec fileCommand(String description) {
    CommandSpec spec = CommandSpec.create();
    spec.usageMessage().description(description);
    spec.addPositional(
        PositionalParamSpec.builder()
            .paramLabel("FILE")
            .type(Path.class)
            .index("0")
            .arity("1")
            .required(true)
            .build());
    spec.addOption(help());
    return spec;
  }

  private static Settings load(Path file) {
    SettingsReader.Result result = SettingsReader.read(file);
    result.faults().forEach(fault -> System.err.println(file + ": " + fault));
    return result.settings();
  }

  private static int checkConfig(Path file) {
    return load(file) == null ? BAD_SETTINGS : 0;
  }

  private static int checkPolicy(Path file) {
    List<String> faults = Policy.check(file);
    faults.forEach(fault -> System.err.println(file + ":" + fault));
    return faults.isEmpty() ? 0 : BAD_SETTINGS;
  }

  private static int serve(Path file, Path policyFile) {
    Settings settings = load(file);
    if (settings == null) {
      return BAD_SETTINGS;
    }
    if (policyFile != null && checkPolicy(policyFile) != 0) {
      return BAD_SETTINGS;
    }
    try {
      new Service(settings, Policy.load(policyFile)).start();
    } catch (IOException e) {
      System.err.println(policyFile + ": can't be read: " + e.getMessage());
      return BAD_SETTINGS;
    }
    return 0;
  }
}
