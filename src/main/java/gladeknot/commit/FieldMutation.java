package gladeknot.commit;

/**
 * A change of one field of a key that holds many fields, made on behalf of a shard. It is dropped
 * if the field does not have the expected value when its transaction is put together.
 *
 * @param shard the owned shard; the transaction is conditional on its key as well
 * @param key the key that holds the field
 * @param field the field's name
 * @param expected the value that the change was decided on; null if the field was absent
 * @param value the new value; null removes the field
 * @param callback receives the outcome
 */
public record FieldMutation(
    int shard,
    String key,
    String field,
    String expected,
    String value,
    MutationCallback callback) {}
