/**
 * HTTP/1.1 on Netty's event loop: the server for users and workers, and the client for other
 * services.
 *
 * <p>The package manages connections and nothing else. All its code runs on one event loop thread,
 * without locks. It exchanges the message types of {@code outbox} and does not interpret their
 * content.
 */
package gladeknot.http;
