package gladeknot.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Reads the records that new records refer to and that the cache does not keep, before the new
 * records are applied. Whoever is told of a record then knows what it refers to, as if the cache
 * kept everything.
 */
final class ReferenceReader {
  private final CacheFilter filter;
  private final KeyReader keyReader;
  private final RetryBackoff backoff;

  /** References that have to be read again because a read failed; each a list of possible keys. */
  private final List<List<String>> failed = new ArrayList<>();

  private final List<Change> found = new ArrayList<>();
  private Consumer<List<Change>> callback = changes -> {};
  private int inProgress;
  private long nowMicros;

  ReferenceReader(CacheFilter filter, KeyReader keyReader, RandomGenerator random) {
    this.filter = filter;
    this.keyReader = keyReader;
    this.backoff = new RetryBackoff(random);
  }

  /**
   * Reads what the records refer to, and passes it to the callback as changes: at once if there is
   * nothing to read. Must not be called again before that.
   *
   * @param known entries that need not be read, by key
   */
  void resolve(
      Collection<ListedKey> records, Map<String, Entry> known, Consumer<List<Change>> onResolved) {
    callback = onResolved;
    found.clear();
    Set<List<String>> references = unknownReferences(records);
    references.removeIf(reference -> isFoundIn(known, reference.get(0)));
    inProgress = references.size();
    if (references.isEmpty()) {
      finish();
    } else {
      references.forEach(this::read);
    }
  }

  private Set<List<String>> unknownReferences(Collection<ListedKey> records) {
    Set<List<String>> references = new LinkedHashSet<>();
    for (ListedKey listed : records) {
      references.addAll(filter.unknownReferences(listed.key(), listed.entry().data()));
    }
    if (!references.isEmpty()) {
      Set<String> keys = new HashSet<>();
      records.forEach(listed -> keys.add(listed.key()));
      references.removeIf(reference -> reference.stream().anyMatch(keys::contains));
    }
    return references;
  }

  private boolean isFoundIn(Map<String, Entry> known, String key) {
    Entry entry = known.get(key);
    if (entry != null) {
      found.add(new Change(key, null, entry));
    }
    return entry != null;
  }

  /** Advances the time, and repeats failed reads when due. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (!failed.isEmpty() && backoff.isOver(currentMicros)) {
      List<List<String>> repeated = List.copyOf(failed);
      failed.clear();
      repeated.forEach(this::read);
    }
  }

  private void read(List<String> reference) {
    keyReader.readAny(reference, result -> onRead(reference, result));
  }

  private void onRead(List<String> reference, KeyRead result) {
    if (result instanceof KeyRead.Failed) {
      failed.add(reference);
      backoff.onFailure(nowMicros);
      return;
    }
    // A record that the cache keeps is reported by the watch.
    if (result instanceof KeyRead.Found read
        && !filter.keeps(reference.get(0), read.entry().data())) {
      found.add(new Change(reference.get(0), null, read.entry()));
    }
    inProgress--;
    if (inProgress == 0) {
      finish();
    }
  }

  private void finish() {
    callback.accept(List.copyOf(found));
  }
}
