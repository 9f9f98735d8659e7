package gladeknot.workers;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes the messages to workers: answers to heartbeats, and direct commands. */
public final class CommandCodec {
  private static final String FENCING_TOKEN = "fence";
  private static final String INCARNATION = "tenure";
  private static final String COMMANDS = "orders";
  private static final String REDIRECT = "foreman";
  private static final String VERB = "verb";
  private static final String TASK = "strand";
  private static final String ATTEMPT = "try";
  private static final String GRACE_SECONDS = "windDownS";
  private static final String RUN = "run";
  private static final String KILL = "kill";
  private static final String PURGE = "reap";

  private CommandCodec() {}

  /** Returns the answer to an accepted heartbeat. */
  static Map<String, Object> answer(long fencingToken, List<WorkerCommand> commands) {
    return Json.of(FENCING_TOKEN, fencingToken, COMMANDS, encode(commands));
  }

  /** Returns the answer that redirects a worker to another controller. */
  static Map<String, Object> redirect(String node) {
    return Json.of(REDIRECT, node);
  }

  /**
   * Returns a message with commands for a worker's own endpoint. They apply to one incarnation of
   * the worker only.
   */
  public static Map<String, Object> directCommands(
      long fencingToken, long incarnation, List<WorkerCommand> commands) {
    return Json.of(
        FENCING_TOKEN, fencingToken, INCARNATION, incarnation, COMMANDS, encode(commands));
  }

  private static List<Map<String, Object>> encode(List<WorkerCommand> commands) {
    List<Map<String, Object>> encoded = new ArrayList<>(commands.size());
    for (WorkerCommand command : commands) {
      encoded.add(encode(command));
    }
    return encoded;
  }

  private static Map<String, Object> encode(WorkerCommand command) {
    Map<String, Object> encoded = new LinkedHashMap<>();
    encoded.put(VERB, verb(command));
    encoded.put(TASK, command.task());
    encoded.put(ATTEMPT, command.attempt());
    if (command instanceof WorkerCommand.Kill kill) {
      encoded.put(GRACE_SECONDS, kill.graceSeconds());
    }
    return encoded;
  }

  private static String verb(WorkerCommand command) {
    if (command instanceof WorkerCommand.Run) {
      return RUN;
    }
    return command instanceof WorkerCommand.Kill ? KILL : PURGE;
  }
}
