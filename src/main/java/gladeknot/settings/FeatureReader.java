package gladeknot.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import gladeknot.json.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the files that turn features on and collects the faults of all files. */
public final class FeatureReader {
  private static final String FEATURE_FIELD = "feature";

  private final List<String> faults = new ArrayList<>();
  private final Map<String, Path> fileByFeature = new HashMap<>();
  private Optional<PartialCuts> partialCuts = Optional.empty();

  /**
   * Result of reading the feature files.
   *
   * @param features the features; null if there are faults
   * @param faults the faults found, each with its file and field; empty if there are none
   */
  public record Result(Features features, List<String> faults) {}

  private FeatureReader() {}

  /** Reads all files; each file turns one feature on. */
  public static Result read(List<Path> files) {
    FeatureReader reader = new FeatureReader();
    files.forEach(reader::readFile);
    return reader.faults.isEmpty()
        ? new Result(new Features(reader.partialCuts), List.of())
        : new Result(null, List.copyOf(reader.faults));
  }

  private void readFile(Path file) {
    List<String> fileFaults = new ArrayList<>();
    try {
      byte[] text = Files.readAllBytes(file);
      Object root = JSON.builder(new TomlFactory()).build().anyFrom(text);
      readFeature(file, new StrictTable(Json.map(root), "", fileFaults));
    } catch (JsonProcessingException e) {
      fileFaults.add("not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      fileFaults.add("can't be read: " + e.getMessage());
    }
    fileFaults.forEach(fault -> faults.add(file + ": " + fault));
  }

  private void readFeature(Path file, StrictTable root) {
    String name = root.text(FEATURE_FIELD);
    if (!name.equals(PartialCuts.NAME)) {
      if (!name.isEmpty()) {
        root.fault(FEATURE_FIELD, "unknown feature " + name + "; known: " + PartialCuts.NAME);
      }
      return;
    }
    Path otherFile = fileByFeature.putIfAbsent(name, file);
    if (otherFile != null) {
      root.fault(FEATURE_FIELD, name + " is turned on by " + otherFile + " too");
    }
    partialCuts = Optional.of(PartialCuts.read(root));
    root.rejectUnknown();
  }
}
