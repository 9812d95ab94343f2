/** The record of ended requests; written by `RecordController`. */
export type RecordsSection = {
  /** Ended requests and batches that the log has not confirmed yet; a planned stop waits for them. */
  unconfirmed: number;
};

/** A daemon's view at its start. */
export function createRecordsSection(): RecordsSection {
  return { unconfirmed: 0 };
}
