package gladeknot.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings files of controllers on loopback.
 *
 * @param links the links by which controllers reach one another and the services
 * @param nodes the addresses for users and workers, by controller
 * @param peers the addresses for other controllers, by controller
 * @param cloudAddress the address of the fake cloud
 */
record LoopbackSettings(
    LoopbackServices.Links links,
    LoopbackScale scale,
    List<String> nodes,
    List<String> peers,
    String cloudAddress) {
  /** Writes the settings of a controller, whose state service listens on the given address. */
  void write(Path dir, int index, String stateAddress) throws IOException {
    String self = "node-" + index;
    StringBuilder text = new StringBuilder();
    text.append("node_name = \"" + self + "\"\ndomain = \"a\"\n");
    text.append("client_listen = \"" + nodes.get(index) + "\"\n");
    text.append("back = \"" + peers.get(index) + "\"\n");
    for (int other = 0; other < peers.size(); other++) {
      if (other != index) {
        String address = links.address(self + ">node-" + other, peers.get(other));
        text.append("[[members]]\nnode_name = \"node-" + other + "\"\ndomain = \"a\"\n");
        text.append("addr = \"" + address + "\"\n");
      }
    }
    text.append("[external]\n");
    text.append("cloud = \"" + links.address(self + ">cloud", cloudAddress) + "\"\n");
    text.append("state = \"" + links.address(self + ">state", stateAddress) + "\"\n");
    text.append(CLUSTER_BEGIN)
        .append(scale.teamSettings())
        .append(scale.stateSettings())
        .append(CLUSTER_END);
    Files.writeString(dir.resolve(self + ".toml"), text);
  }

  private static final String CLUSTER_BEGIN =
      """
      [cluster]
      initial_size = 3
      zones = ["a", "b"]
      clock_error_ms = 100.0
      """;

  private static final String CLUSTER_END =
      """
      [[cluster.objectives]]
      kind = "wait"
      class = "web"
      within_s = 5.0
      share = 0.9
      [[cluster.objectives]]
      kind = "deadline"
      class = "batch"
      share = 0.9
      times = 1.0
      [cluster.workers]
      report_s = 0.5
      lease_s = 5.0
      gang_wait_s = 30.0
      gang_peer_s = 6.0
      cancel_s = 20.0
      [cluster.cloud]
      rps = 6.0
      list_lag_s = 5.0
      [cluster.machine_limits]
      max_connections = 500
      """;
}
