package gladeknot.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.JobSpec;
import gladeknot.standin.SimulatedCluster;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** What a slice's record keeps, and how little room it takes. */
class SliceTest {
  private static final RecordLayout LAYOUT = new RecordLayout(() -> 1);

  private static Slice slice(int tasks) throws JobSpec.MalformedJobException {
    JobSpec spec = JobSpec.parse(SimulatedCluster.job("req-1", "array", tasks));
    Slice s = new Slice(LAYOUT, false, 1, 3, "req-1");
    s.usage(spec);
    s.assigned.set(0, tasks);
    return s;
  }

  private static Slice again(String record) {
    Slice s = new Slice(LAYOUT, false, 1, 3, "req-1");
    for (Attempt a : s.read(record, 0)) {
      s.out.put(a.task(), a);
    }
    return s;
  }

  @Test
  void comesBackAsItWas() throws JobSpec.MalformedJobException {
    Slice s = slice(20);
    s.done.set(3, 9);
    long number = s.nextNumber();
    s.out.put(11, new Attempt(s, 11, number, "vm-000231", 0));
    Slice read = again(s.record());
    assertEquals(s.assigned, read.assigned);
    assertEquals(s.done, read.done);
    assertEquals("req-1/11 attempt " + number + " on vm-000231", read.out.get(11).toString());
    assertTrue(read.out.get(11).committed() && read.out.get(11).sent);
    // Numbers never repeat, whoever goes on.
    assertTrue(read.nextNumber() > number);
    assertEquals(s.record(), read.record().replace("|" + read.counter + "|", "|1|"));
  }

  /** Done slices outnumber the others while their jobs go on, and filled a part once. */
  @Test
  void aDoneSliceTakesLittleHoweverScatteredItsTasks() throws JobSpec.MalformedJobException {
    Slice s = slice(250);
    for (int t = 0; t < 250; t += 2) {
      s.assigned.clear(t);
    }
    int open = s.record().length();
    s.done.or(s.assigned);
    assertTrue(s.record().length() <= open + 1);
    assertEquals(s.assigned, again(s.record()).done);
  }

  /** Slices of one old part go to as many new ones as the mark says, and to no others. */
  @Test
  void aSplitPartsPiecesAreItsOwn() {
    RecordLayout split = new RecordLayout(() -> 4);
    Map<String, Set<String>> pieces = new TreeMap<>();
    for (int i = 0; i < 1000; i++) {
      String job = "req-" + (100_000 + 37 * i);
      for (boolean whole : List.of(true, false)) {
        String piece = split.key(2, whole, job);
        pieces.computeIfAbsent(LAYOUT.key(2, whole, job), k -> new TreeSet<>()).add(piece);
        assertEquals(whole, RecordLayout.isWhole(piece));
      }
    }
    assertEquals(
        Set.of("g/sl/2/a0", "g/sl/2/a1", "g/sl/2/a2", "g/sl/2/a3", "g/sl/2/w0", "g/sl/2/w1"),
        pieces.keySet());
    assertEquals(
        Set.of("g/sl/2/a16-1", "g/sl/2/a16-5", "g/sl/2/a16-9", "g/sl/2/a16-13"),
        pieces.get("g/sl/2/a1"));
    assertEquals(
        Set.of("g/sl/2/w8-0", "g/sl/2/w8-2", "g/sl/2/w8-4", "g/sl/2/w8-6"),
        pieces.get("g/sl/2/w0"));
  }

  /** It is asked for in every step; worked out each time it made large fleets too slow. */
  @Test
  void aSlicesKeyIsWorkedOutOnceALayout() {
    int[] split = {1};
    Slice s = new Slice(new RecordLayout(() -> split[0]), false, 1, 3, "req-1");
    String before = s.wantedKey();
    assertSame(before, s.wantedKey());
    split[0] = 4;
    assertTrue(s.wantedKey().startsWith("g/sl/1/a16-"));
    assertSame(s.wantedKey(), s.wantedKey());
  }

  @Test
  void aClaimLeavesTheRest() throws JobSpec.MalformedJobException {
    Slice s = slice(10);
    s.done.set(0);
    BitSet left = new BitSet();
    left.set(0, 4);
    Slice read = again(s.record(left));
    assertEquals(left, read.assigned);
    assertEquals(List.of(1, 2, 3), read.assigned.stream().filter(read::isTodo).boxed().toList());
  }
}
