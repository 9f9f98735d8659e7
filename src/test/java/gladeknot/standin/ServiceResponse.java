package gladeknot.standin;

import java.util.Map;

/** What a fake service or worker answers: an HTTP status and a JSON object. */
public record ServiceResponse(int status, Map<String, Object> body) {}
