package gladeknot.lifecycle;

/** Provides the image cache sizes of machine types. */
public interface ImageCacheSizes {
  /** Returns the image cache size of a machine type in GB; 0 if the type is not known. */
  double cacheGb(String machineType);
}
