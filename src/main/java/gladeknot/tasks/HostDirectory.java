package gladeknot.tasks;

/**
 * The view of machines that slices need: it lists attempts by machine and knows the zones of
 * machines. The registry of workers, which depends on this package, implements it.
 */
public interface HostDirectory {
  /** Adds an attempt to its machine's list, whether or not the machine is registered. */
  void attach(Attempt attempt);

  /** Removes an attempt from its machine's list; does nothing if the list does not contain it. */
  void detach(Attempt attempt);

  /**
   * Returns the zone of a machine: empty if the machine is not registered, null if the machine is
   * not known.
   */
  String zone(String host);
}
