package gladeknot.app;

/**
 * Where a listener listens.
 *
 * @param host a name or address
 * @param port a TCP port
 */
record ListenAddress(String host, int port) {
  /** Parses host:port; the settings are checked, so that other text is a fault of the program. */
  static ListenAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    return new ListenAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
