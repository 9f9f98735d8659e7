/**
 * Settings from the platform and the operators: the settings file that every controller has, and
 * the files that turn features on.
 *
 * <p>The readers collect all faults of a file, each with the name of its field; {@code
 * check-config} prints them unchanged. The results are immutable. The package depends only on
 * {@code json}.
 */
package gladeknot.settings;
