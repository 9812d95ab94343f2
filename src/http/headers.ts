/** Team of a request without a bearer token. */
export const TEAM_HEADER = "x-team";
/** Request class. */
export const CLASS_HEADER = "x-class";
/** Milliseconds until the deadline. */
export const DEADLINE_HEADER = "x-deadline-ms";
/** The id of the request. */
export const REQUEST_HEADER = "x-request-id";
/** Signed token with which any daemon resumes the stream. */
export const RESUME_HEADER = "x-resume-token";
/** The configuration revision that the request runs under. */
export const REVISION_HEADER = "x-config-revision";
/** The id of the last event that the client has received. */
export const LAST_EVENT_HEADER = "last-event-id";
/** Idempotency key; required for calls that may run at most once. */
export const KEY_HEADER = "idempotency-key";
