import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/**
 * Passes over the failed tests that KNOWN-RED.txt lists, and over no others.
 *
 * <p>Each line of that file has four fields, separated by " | ": the test, the command with its
 * seed, what was seen, and the number of an issue. The test is a Maven test (CLASS.METHOD), or the
 * path of a script below the working directory, which contains a slash. Scripts are not run by
 * Maven: their entries are printed, and the script must exist.
 *
 * <p>Exit 1 on a malformed or repeated entry, on an entry whose Maven test did not run or whose
 * script does not exist, on any failed Maven test that is not listed, and if no test ran.
 *
 * <p>Usage: java .ci/KnownRed.java KNOWN-RED.txt SUREFIRE-REPORTS
 */
public final class KnownRed {
  private static final String SEPARATOR = " \\| ";
  private static final int FIELDS = 4;
  private static final String ISSUE_NUMBER = "[1-9][0-9]*";

  /** One line of KNOWN-RED.txt. */
  private record Entry(String test, String command, String seen, String issue) {
    boolean isScript() {
      return test.contains("/");
    }
  }

  /** Names of the Maven tests that ran, and of those that failed. */
  private record Reports(Set<String> ran, Set<String> failed) {}

  private final List<String> faults = new ArrayList<>();

  private KnownRed() {}

  /** Checks the reports; see the class comment. */
  public static void main(String[] args) throws Exception {
    List<String> faults = new KnownRed().check(Path.of(args[0]), Path.of(args[1]));
    faults.forEach(System.out::println);
    System.exit(faults.isEmpty() ? 0 : 1);
  }

  private List<String> check(Path knownRed, Path reportFolder) throws Exception {
    List<Entry> entries = readEntries(knownRed);
    Reports reports = readReports(reportFolder);
    Set<String> listed = new HashSet<>();
    for (Entry entry : entries) {
      if (!listed.add(entry.test())) {
        faults.add("listed twice: " + entry.test());
      }
      if (entry.isScript()) {
        checkScript(entry.test());
      } else if (!reports.ran().contains(entry.test())) {
        faults.add("no such test ran: " + entry.test());
      }
    }
    for (String test : reports.failed()) {
      if (!listed.contains(test)) {
        faults.add("failed: " + test);
      }
    }
    if (reports.ran().isEmpty()) {
      faults.add("no test ran");
    }
    return faults;
  }

  private List<Entry> readEntries(Path file) throws IOException {
    List<Entry> entries = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      if (!line.isBlank()) {
        System.out.println("known red: " + line);
        readEntry(line, entries);
      }
    }
    return entries;
  }

  private void readEntry(String line, List<Entry> entries) {
    List<String> fields = List.of(line.strip().split(SEPARATOR, -1));
    boolean complete = fields.size() == FIELDS && fields.stream().noneMatch(String::isBlank);
    if (complete && fields.get(FIELDS - 1).strip().matches(ISSUE_NUMBER)) {
      entries.add(new Entry(fields.get(0).strip(), fields.get(1), fields.get(2), fields.get(3)));
    } else {
      faults.add("not of the form TEST | COMMAND AND SEED | SEEN | ISSUE: " + line);
    }
  }

  private void checkScript(String name) {
    Path script = Path.of(name).normalize();
    if (script.isAbsolute() || script.startsWith("..") || !Files.isRegularFile(script)) {
      faults.add("no such script: " + name);
    }
  }

  private static Reports readReports(Path folder) throws Exception {
    Reports reports = new Reports(new HashSet<>(), new HashSet<>());
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "TEST-*.xml")) {
      for (Path file : files) {
        readReport(file, reports);
      }
    }
    return reports;
  }

  private static void readReport(Path file, Reports reports)
      throws IOException, ParserConfigurationException, SAXException {
    NodeList cases =
        DocumentBuilderFactory.newInstance()
            .newDocumentBuilder()
            .parse(file.toFile())
            .getElementsByTagName("testcase");
    for (int i = 0; i < cases.getLength(); i++) {
      Element test = (Element) cases.item(i);
      String name = test.getAttribute("classname") + "." + test.getAttribute("name");
      reports.ran().add(name);
      if (has(test, "failure") || has(test, "error")) {
        reports.failed().add(name);
      }
    }
  }

  private static boolean has(Element test, String tag) {
    return test.getElementsByTagName(tag).getLength() > 0;
  }
}
