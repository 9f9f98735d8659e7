import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Passes over the failed tests that KNOWN-RED.txt lists, and over no others: each of its lines
 * names a test (CLASS.METHOD), its cause and its issue, parted by " | ". Exit 1 on more than three
 * lines, on a line that names no test that ran, and on any failed test that isn't listed.
 *
 * <p>Usage: java .ci/KnownRed.java KNOWN-RED.txt SUREFIRE-REPORTS
 */
public final class KnownRed {
  private static final int MOST = 3;

  private KnownRed() {}

  public static void main(String[] args) throws Exception {
    List<String> faults = new ArrayList<>();
    Set<String> listed = new HashSet<>();
    int lines = 0;
    for (String line : Files.readAllLines(Path.of(args[0]))) {
      if (line.isBlank()) {
        continue;
      }
      lines++;
      System.out.println("known red: " + line);
      String[] parts = line.split(" \\| ", -1);
      if (parts.length != 3 || parts[1].isBlank() || parts[2].isBlank()) {
        faults.add("not of the form TEST | CAUSE | ISSUE: " + line);
      }
      listed.add(parts[0].strip());
    }
    if (lines > MOST) {
      faults.add(lines + " lines, at most " + MOST + " are allowed");
    }
    Set<String> ran = new HashSet<>();
    Set<String> failed = new HashSet<>();
    read(Path.of(args[1]), ran, failed);
    for (String test : listed) {
      if (!ran.contains(test)) {
        faults.add("no such test ran: " + test);
      }
    }
    for (String test : failed) {
      if (!listed.contains(test)) {
        faults.add("failed: " + test);
      }
    }
    if (ran.isEmpty()) {
      faults.add("no test ran");
    }
    faults.forEach(System.out::println);
    System.exit(faults.isEmpty() ? 0 : 1);
  }

  private static void read(Path folder, Set<String> ran, Set<String> failed) throws Exception {
    try (DirectoryStream<Path> reports = Files.newDirectoryStream(folder, "TEST-*.xml")) {
      for (Path report : reports) {
        NodeList cases = parse(report).getElementsByTagName("testcase");
        for (int i = 0; i < cases.getLength(); i++) {
          Element test = (Element) cases.item(i);
          String name = test.getAttribute("classname") + "." + test.getAttribute("name");
          ran.add(name);
          boolean red =
              test.getElementsByTagName("failure").getLength() > 0
                  || test.getElementsByTagName("error").getLength() > 0;
          if (red) {
            failed.add(name);
          }
        }
      }
    }
  }

  private static Element parse(Path report) throws Exception, IOException {
    return DocumentBuilderFactory.newInstance()
        .newDocumentBuilder()
        .parse(report.toFile())
        .getDocumentElement();
  }
}
