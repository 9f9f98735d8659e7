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
 * {@value #FILE_PROPERTY} names, and does nothing without it. {@code tools/fingerprints.sh} turns
 * it on; {@code docs/development.md} says what the lines are for.
 */
public final class FingerprintRecorder implements InvocationInterceptor {
  private static final String FILE_PROPERTY = "gladeknot.fingerprints";
  private static final Optional<Path> FILE =
      Optional.ofNullable(System.getProperty(FILE_PROPERTY))
          .filter(name -> !name.isBlank())
          .map(Path::of);

  /** The clusters of the case that runs now; tests run one after the other, in one thread. */
  private static final List<Supplier<String>> CLUSTERS = new ArrayList<>();

  /** The fingerprint of a cluster that the case which runs now creates, if they are wanted. */
  static Optional<BehaviourFingerprint> fingerprint(FakeStateStore state) {
    if (FILE.isEmpty()) {
      return Optional.empty();
    }
    BehaviourFingerprint fingerprint = new BehaviourFingerprint();
    CLUSTERS.add(() -> fingerprint.line(state));
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
    CLUSTERS.clear();
    invocation.proceed();
    if (FILE.isPresent()) {
      write(FILE.get(), context.getDisplayName());
    }
  }

  /** The line names the case alone, so that a test class may be renamed or split. */
  private static void write(Path file, String name) {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < CLUSTERS.size(); i++) {
      lines.add(name + " #" + i + " " + CLUSTERS.get(i).get());
    }
    try {
      Files.write(file, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
