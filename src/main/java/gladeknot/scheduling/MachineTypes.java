package gladeknot.scheduling;

import gladeknot.workers.MachineType;

/** Looks up machine types by name. */
public interface MachineTypes {
  /** Returns the type with a name; null if the cloud has not listed it, or not yet. */
  MachineType get(String name);
}
