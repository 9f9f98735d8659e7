package gladeknot.standin;

import java.util.Map;

/** Response of a fake service or worker: an HTTP status and a JSON object. */
public record ServiceResponse(int status, Map<String, Object> body) {}
