/**
 * Messages between controllers.
 *
 * <p>{@link gladeknot.peer.PeerMessage} is a message of one controller to the others, {@code
 * PeerMessageCodec} its binary encoding, and {@link gladeknot.peer.PeerLinks} the connections,
 * which are the package's only state. Messages may be lost, duplicated or delayed, so correctness
 * must not depend on them.
 *
 * <p>Uses only {@code settings} and Netty.
 */
package gladeknot.peer;
