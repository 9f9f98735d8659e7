package gladeknot.tasks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.JobSpec;
import gladeknot.jobs.JobSpecCodec;
import gladeknot.jobs.MalformedJobException;
import gladeknot.standin.TestJobs;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests the contents and size of a slice's record, and the segments that slices belong to. */
class SliceTest {
  private static final SegmentLayout LAYOUT = new SegmentLayout(() -> 1);

  private static Slice slice(int tasks) throws MalformedJobException {
    JobSpec spec = JobSpecCodec.decode(TestJobs.job("req-1", "array", tasks));
    Slice slice = new Slice(LAYOUT, false, 1, 3, "req-1");
    slice.setResources(spec);
    slice.assigned().set(0, tasks);
    return slice;
  }

  private static Slice decoded(String record) {
    Slice slice = new Slice(LAYOUT, false, 1, 3, "req-1");
    for (Attempt attempt : slice.decode(record, 0)) {
      slice.addAttempt(attempt);
    }
    return slice;
  }

  @Test
  void decodedSliceMatchesEncodedSlice() throws MalformedJobException {
    Slice slice = slice(20);
    slice.done().set(3, 9);
    long number = slice.nextAttemptNumber();
    slice.addAttempt(new Attempt(slice, 11, number, "vm-000231", 0));
    Slice read = decoded(slice.encode());
    assertEquals(slice.assigned(), read.assigned());
    assertEquals(slice.done(), read.done());
    assertEquals(
        "req-1/11#" + number + " host=vm-000231", read.attemptsByTask().get(11).toString());
    assertTrue(
        read.attemptsByTask().get(11).committed() && read.attemptsByTask().get(11).runSent());
    // Attempt numbers never repeat, whichever controller owns the shard.
    assertTrue(read.nextAttemptNumber() > number);
    assertEquals(slice.encode(), read.encode().replace("|" + read.attemptCounter() + "|", "|1|"));
  }

  /** A team called "a|b" once made its slices unreadable. */
  @Test
  void teamNameMayContainTheSeparator() throws MalformedJobException {
    for (String team : List.of("a|b", "|", "50%|", "%7C", "50%")) {
      Map<String, Object> job = TestJobs.job("req-1", "array", 3);
      job.put("owner", team);
      Slice slice = new Slice(LAYOUT, false, 1, 3, "req-1");
      slice.setResources(JobSpecCodec.decode(job));
      slice.assigned().set(0, 3);
      assertEquals(team, decoded(slice.encode()).team());
      assertEquals(slice.assigned(), SliceRecord.assignedIn(slice.encode()));
    }
  }

  /**
   * While their jobs are active, done slices outnumber the others. Their records once filled a
   * segment.
   */
  @Test
  void recordOfDoneSliceStaysShortWithScatteredTasks() throws MalformedJobException {
    Slice slice = slice(250);
    for (int task = 0; task < 250; task += 2) {
      slice.assigned().clear(task);
    }
    int activeBytes = slice.encode().length();
    slice.done().or(slice.assigned());
    assertTrue(slice.encode().length() <= activeBytes + 1);
    assertEquals(slice.assigned(), decoded(slice.encode()).done());
  }

  /**
   * The slices of one segment of the first version move to the segments that this segment is split
   * into, and to no others.
   */
  @Test
  void slicesMoveOnlyToPartsOfTheirSegment() {
    SegmentLayout split = new SegmentLayout(() -> 4);
    Map<String, Set<String>> parts = new TreeMap<>();
    for (int i = 0; i < 1000; i++) {
      String job = "req-" + (100_000 + 37 * i);
      for (boolean unsplit : List.of(true, false)) {
        String part = split.key(2, unsplit, job);
        parts.computeIfAbsent(LAYOUT.key(2, unsplit, job), key -> new TreeSet<>()).add(part);
        assertEquals(unsplit, SegmentLayout.holdsUnsplitJobs(part));
      }
    }
    assertEquals(
        Set.of("g/sl/2/a0", "g/sl/2/a1", "g/sl/2/a2", "g/sl/2/a3", "g/sl/2/w0", "g/sl/2/w1"),
        parts.keySet());
    assertEquals(
        Set.of("g/sl/2/a16-1", "g/sl/2/a16-5", "g/sl/2/a16-9", "g/sl/2/a16-13"),
        parts.get("g/sl/2/a1"));
    assertEquals(
        Set.of("g/sl/2/w8-0", "g/sl/2/w8-2", "g/sl/2/w8-4", "g/sl/2/w8-6"), parts.get("g/sl/2/w0"));
  }

  /**
   * The key is requested in every step. Computing it each time made the controller too slow with
   * large fleets.
   */
  @Test
  void targetKeyIsComputedOncePerLayout() {
    int[] split = {1};
    Slice slice = new Slice(new SegmentLayout(() -> split[0]), false, 1, 3, "req-1");
    String before = slice.targetKey();
    assertSame(before, slice.targetKey());
    split[0] = 4;
    assertTrue(slice.targetKey().startsWith("g/sl/1/a16-"));
    assertSame(slice.targetKey(), slice.targetKey());
  }

  @Test
  void recordKeepsTasksThatAreNotClaimed() throws MalformedJobException {
    Slice slice = slice(10);
    slice.done().set(0);
    BitSet remaining = new BitSet();
    remaining.set(0, 4);
    Slice read = decoded(slice.encode(remaining));
    assertEquals(remaining, read.assigned());
    assertEquals(
        List.of(1, 2, 3), read.assigned().stream().filter(read::isPending).boxed().toList());
  }
}
