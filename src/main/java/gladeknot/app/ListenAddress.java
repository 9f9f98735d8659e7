package gladeknot.app;

/**
 * Address that a listener binds to.
 *
 * @param host host name or IP address
 * @param port TCP port
 */
record ListenAddress(String host, int port) {
  /**
   * Parses host:port. The settings reader has validated the text, so that any other form is a
   * programming error.
   */
  static ListenAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return new ListenAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
