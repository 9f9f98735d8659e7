package gladeknot.app;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;

/** Builds the commands and options of the command line, without reflection to start up faster. */
final class CommandSpecs {
  static final String CONFIG = "--config";
  static final String POLICY = "--policy";
  static final String FEATURE = "--feature";
  static final String JSON = "--json";
  static final String CHECK_CONFIG = "check-config";
  static final String CHECK_POLICY = "check-policy";
  static final String STATUS = "status";

  private CommandSpecs() {}

  /** Builds the root command with its options and subcommands. */
  static CommandSpec root(String version) {
    CommandSpec root = CommandSpec.create().name("gladeknot");
    root.usageMessage().description("A cluster scheduler: one of its controllers.");
    root.version(version);
    root.addOption(fileOption(CONFIG, "Serve with the platform's settings file (TOML)."));
    root.addOption(fileOption(POLICY, "Operators' rules, laid over the shipped ones."));
    root.addOption(featureOption());
    root.addOption(helpOption());
    root.addOption(
        OptionSpec.builder("-V", "--version")
            .versionHelp(true)
            .description("Print version.")
            .build());
    root.addSubcommand(CHECK_CONFIG, checkConfigCommand());
    root.addSubcommand(CHECK_POLICY, fileCommand("Check a policy file; exit 2 if it has faults."));
    root.addSubcommand(STATUS, statusCommand());
    return root;
  }

  private static OptionSpec fileOption(String name, String description) {
    return OptionSpec.builder(name)
        .paramLabel("FILE")
        .type(Path.class)
        .description(description)
        .build();
  }

  private static OptionSpec featureOption() {
    return OptionSpec.builder(FEATURE)
        .paramLabel("FILE")
        .type(List.class)
        .auxiliaryTypes(Path.class)
        .arity("1")
        .description("Turn a feature on by its file (TOML), see deploy/; may be repeated.")
        .build();
  }

  private static OptionSpec helpOption() {
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
    spec.addOption(helpOption());
    return spec;
  }

  private static CommandSpec checkConfigCommand() {
    CommandSpec spec = fileCommand("Check a settings file; exit 2 if it has faults.");
    spec.addOption(featureOption());
    return spec;
  }

  private static CommandSpec statusCommand() {
    CommandSpec spec = CommandSpec.create();
    spec.usageMessage()
        .description(
            "Show a running controller's links, shards and authority; exit 1 if it can't.");
    spec.addPositional(
        PositionalParamSpec.builder()
            .paramLabel("HOST:PORT")
            .type(String.class)
            .index("0")
            .arity("0..1")
            .description(
                "Its operators' listener; " + StatusCommand.DEFAULT_ADDRESS + " if absent.")
            .build());
    spec.addOption(OptionSpec.builder(JSON).description("Print JSON.").build());
    spec.addOption(helpOption());
    return spec;
  }
}
