import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Event } from "../../src/core/event.ts";
import type { Offset, RecordId, StreamName } from "../../src/core/id.ts";
import { LogClient, type LogError } from "../../src/platform/log_client.ts";
import type { LogBatch } from "../../src/wire/log.ts";
import type { FakeLog } from "./fake_log.ts";
import type { Timeline } from "./timeline.ts";

/** An operator's way to the fake log. */
export class FakeLogClient extends LogClient {
  readonly #log: FakeLog;
  readonly #timeline: Timeline;

  private constructor(log: FakeLog, timeline: Timeline) {
    super();
    this.#log = log;
    this.#timeline = timeline;
  }

  static create(log: FakeLog, timeline: Timeline): FakeLogClient {
    return new FakeLogClient(log, timeline);
  }

  override append(
    stream: StreamName,
    values: readonly string[],
  ): ResultAsync<Offset, LogError> {
    const records = values.map((body, index) => ({
      id: `operator-${index}` as RecordId,
      body,
    }));
    return this.#ask((tell) => this.#log.append(stream, records, tell))
      .andThen((event) => {
        if (event.type !== "append_ended") return err(UNKNOWN);
        if (event.result === "appended") return ok(0 as Offset);
        return err(event.result === "refused" ? REFUSED : UNKNOWN);
      });
  }

  override read(
    stream: StreamName,
    from: Offset,
  ): ResultAsync<LogBatch, LogError> {
    return this.#ask((tell) =>
      this.#log.read(stream, from, { tell, waitMs: 0 })
    )
      .andThen((event) => toBatch(event));
  }

  #ask(
    run: (tell: (event: Event) => void) => void,
  ): ResultAsync<Event, LogError> {
    const answer = new Promise<Event>((resolve) =>
      run((event) => {
        this.#timeline.unsettle();
        resolve(event);
      })
    );
    return ResultAsync.fromSafePromise(answer);
  }
}

const REFUSED: LogError = { code: "refused", detail: "The log is down." };
const UNKNOWN: LogError = { code: "unknown", detail: "No answer came." };

function toBatch(event: Event): Result<LogBatch, LogError> {
  if (event.type === "log_gap") {
    const { firstOffset } = event;
    return err({ code: "gone", detail: "Expired.", firstOffset });
  }
  if (event.type !== "log_read") return err(UNKNOWN);
  return ok({
    records: [...event.records],
    first_offset: 0 as Offset,
    next_offset: event.nextOffset,
    end_offset: event.endOffset,
  });
}
