package gladeknot.scheduling;

import gladeknot.workers.MachineType;

/** Looks up machine types by name. */
public interface MachineTypes {
  /** The type of that name; null if the cloud hasn't listed it (yet). */
  MachineType get(String name);
}
