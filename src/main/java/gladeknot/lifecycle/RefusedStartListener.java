package gladeknot.lifecycle;

import gladeknot.workers.TaskSize;

/** Learns which tasks the machines of a type refuse although they have no other task. */
public interface RefusedStartListener {
  /**
   * Called when a machine has refused a task for lack of resources that its type should have.
   *
   * @param machineType the name of the machine's type
   * @param nowMicros the steady clock, in microseconds
   */
  void onRefused(String machineType, TaskSize size, long nowMicros);
}
