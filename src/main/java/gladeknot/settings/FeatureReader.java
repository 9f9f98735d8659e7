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

/** Reads the files that turn features on, collecting every fault of every file. */
public final class FeatureReader {
  private static final String FIELD_NAME = "feature";

  private final List<String> faults = new ArrayList<>();
  private final Map<String, Path> readFrom = new HashMap<>();
  private Optional<PartialCuts> partialCuts = Optional.empty();

  /**
   * What reading has come to.
   *
   * @param features the features; null if there are faults
   * @param faults what keeps the features from being used, each with its file; empty if nothing
   */
  public record Result(Features features, List<String> faults) {}

  private FeatureReader() {}

  /** Reads all files; each turns one feature on. */
  public static Result read(List<Path> files) {
    FeatureReader reader = new FeatureReader();
    files.forEach(reader::readFile);
    return reader.faults.isEmpty()
        ? new Result(new Features(reader.partialCuts), List.of())
        : new Result(null, List.copyOf(reader.faults));
  }

  private void readFile(Path file) {
    List<String> found = new ArrayList<>();
    try {
      byte[] text = Files.readAllBytes(file);
      Object root = JSON.builder(new TomlFactory()).build().anyFrom(text);
      readFeature(file, new StrictTable(Json.map(root), "", found));
    } catch (JsonProcessingException e) {
      found.add("not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      found.add("can't be read: " + e.getMessage());
    }
    found.forEach(fault -> faults.add(file + ": " + fault));
  }

  private void readFeature(Path file, StrictTable root) {
    String name = root.text(FIELD_NAME);
    if (!name.equals(PartialCuts.NAME)) {
      if (!name.isEmpty()) {
        root.fault(FIELD_NAME, "unknown feature " + name + "; known: " + PartialCuts.NAME);
      }
      return;
    }
    Path before = readFrom.putIfAbsent(name, file);
    if (before != null) {
      root.fault(FIELD_NAME, name + " is turned on by " + before + " too");
    }
    partialCuts = Optional.of(PartialCuts.read(root));
    root.rejectUnknown();
  }
}
