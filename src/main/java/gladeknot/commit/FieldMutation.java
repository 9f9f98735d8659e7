package gladeknot.commit;

/**
 * A change of one field of a packed key, made on behalf of a shard. The change is dropped if the
 * field does not have the expected value when the transaction is built.
 *
 * @param shard the owned shard; the revision of its key is a precondition of the transaction
 * @param key the key that holds the field
 * @param field the field's name
 * @param expected the field's value when the change was decided; null if the field was absent
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
