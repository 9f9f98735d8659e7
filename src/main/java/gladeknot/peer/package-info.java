/**
 * Messages between controllers.
 *
 * <p>{@link gladeknot.peer.PeerMessage} is what one controller says to the others, {@code
 * PeerMessageCodec} its binary form, and {@link gladeknot.peer.PeerLinks} the connections, which
 * are the package's only state. Messages may be lost, repeated or late: nothing that has to be
 * right may depend on them.
 *
 * <p>Uses {@code settings} and Netty alone.
 */
package gladeknot.peer;
