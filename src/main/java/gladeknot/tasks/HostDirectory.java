package gladeknot.tasks;

/**
 * What the slices need of the machines: their zones, and to be listed there with their attempts.
 * Implemented by the registry of workers, which builds on this package.
 */
public interface HostDirectory {
  /** Lists an attempt at its machine, whether that machine is registered or not. */
  void attach(Attempt attempt);

  /** Removes an attempt from its machine's list; does nothing if it is not on it. */
  void detach(Attempt attempt);

  /** The zone of a machine, empty if the machine is not registered; null if it is not known. */
  String zone(String host);
}
