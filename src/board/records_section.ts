/** State of the records of ended requests; written by `RecordController`. */
export type RecordsSection = {
  /** Number of ended requests and batches that the log has not confirmed; a planned shutdown waits for them. */
  unconfirmed: number;
};

/** State at start. */
export function createRecordsSection(): RecordsSection {
  return { unconfirmed: 0 };
}
