/**
 * What the platform and the operators set: the settings file that every controller has, and the
 * files that turn features on.
 *
 * <p>The readers collect every fault of a file with the name of its field; {@code check-config}
 * shows them as they are. The results are immutable. The package uses {@code json} alone.
 */
package gladeknot.settings;
