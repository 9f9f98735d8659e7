package gladeknot.lifecycle;

/** How much space machines have for images. */
public interface ImageCacheSizes {
  /** The size of the image cache on a type of machine in GB; 0 if the type is not known. */
  double cacheGb(String machineType);
}
