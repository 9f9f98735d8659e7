package gladeknot.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.junit.jupiter.api.extension.DynamicTestInvocationContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;

/**
 * Writes one line for each simulated cluster of each test case to the file that the system property
 * {@value #FILE_PROPERTY} names. Without the property nothing is written. {@code
 * tools/fingerprints.sh} sets it; {@code docs/development.md} explains the use of the lines.
 */
public final class FingerprintRecorder implements InvocationInterceptor {
  private static final String FILE_PROPERTY = "gladeknot.fingerprints";
  private static final Optional<Path> FILE =
      Optional.ofNullable(System.getProperty(FILE_PROPERTY))
          .filter(name -> !name.isBlank())
          .map(Path::of);

  /** Fingerprint lines of the running test case's clusters. Tests run in one thread, in turn. */
  private static final List<Supplier<String>> CLUSTER_LINES = new ArrayList<>();

  /** Returns a fingerprint for a new cluster of the running test case; empty if not recording. */
  static Optional<BehaviourFingerprint> fingerprint(FakeStateStore state) {
    if (FILE.isEmpty()) {
      return Optional.empty();
    }
    BehaviourFingerprint fingerprint = new BehaviourFingerprint();
    CLUSTER_LINES.add(() -> fingerprint.line(state));
    return Optional.of(fingerprint);
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> method,
      ExtensionContext context)
      throws Throwable {
    record(invocation, context);
  }

  @Override
  public void interceptTestTemplateMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> method,
      ExtensionContext context)
      throws Throwable {
    record(invocation, context);
  }

  @Override
  public void interceptDynamicTest(
      Invocation<Void> invocation, DynamicTestInvocationContext test, ExtensionContext context)
      throws Throwable {
    record(invocation, context);
  }

  private static void record(Invocation<Void> invocation, ExtensionContext context)
      throws Throwable {
    CLUSTER_LINES.clear();
    invocation.proceed();
    if (FILE.isPresent()) {
      write(FILE.get(), context.getDisplayName());
    }
  }

  /** Writes lines without the name of the test class, so that it may be renamed or split. */
  private static void write(Path file, String name) {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < CLUSTER_LINES.size(); i++) {
      lines.add(name + " #" + i + " " + CLUSTER_LINES.get(i).get());
    }
    try {
      Files.write(file, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
