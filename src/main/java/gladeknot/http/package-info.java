/**
 * HTTP/1.1 on Netty's event loop: the server for users and workers, and the caller of other
 * services.
 *
 * <p>The package owns the connections and nothing else. Everything in it runs on one event loop
 * thread, without locks. It takes and gives the messages of {@code outbox}, and knows nothing of
 * their content.
 */
package gladeknot.http;
