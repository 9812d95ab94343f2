import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { EventEmitter } from "node:events";
import { describe, expect, test } from "vitest";
import { ResponseRelay } from "./response_relay.ts";
import { ClientResponse } from "./client_response.ts";
import type { ResponseHead } from "./dialect.ts";

const EVENTS: ResponseHead = {
  hasDigest: true,
  notRun: false,
  misdirected: false,
  availability: { leaving: false },
  isEventStream: true,
  headers: ["X-Digest", "first"],
};

/** A response that notes what is written to it. */
class FakeResponse extends EventEmitter {
  headersSent = false;
  head: unknown;
  text = "";
  ended = false;

  writeHead(status: number, headers: unknown): void {
    this.headersSent = true;
    this.head = [status, headers];
  }

  write(bytes: Buffer): boolean {
    this.text += bytes.toString();
    return true;
  }

  end(): void {
    this.ended = true;
  }
}

function relay(lastEventId?: string) {
  const res = new FakeResponse();
  const answer = ClientResponse.create(
    res as unknown as ServerResponse,
    () => false,
  );
  return { res, relay: ResponseRelay.create(answer, { lastEventId }) };
}

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

const retryable = { mayRetry: true };

describe("streams", () => {
  test("go on at another upstream under the head of the first", () => {
    const { res, relay: one } = relay();
    one.startAttempt();
    one.receiveHead(200, EVENTS, retryable);
    one.receiveData(
      Buffer.concat([event(1), Buffer.from("id: 2\nda")]),
      () => {},
    );
    one.startAttempt();
    expect(one.lastEventId).toBe("1");
    one.receiveHead(
      200,
      { ...EVENTS, headers: ["X-Digest", "second"] },
      retryable,
    );
    one.receiveData(Buffer.concat([event(2), event(3)]), () => {});
    expect(one.finish()).toBeUndefined();
    expect(res.head).toEqual([200, ["X-Digest", "first"]]);
    expect(res.text).toBe([1, 2, 3].map((id) => event(id)).join(""));
  });

  test("give no event twice, and none after a gap", () => {
    const { res, relay: one } = relay();
    one.startAttempt();
    one.receiveHead(200, EVENTS, retryable);
    one.receiveData(Buffer.concat([event(1), event(2)]), () => {});
    one.startAttempt();
    one.receiveHead(200, EVENTS, retryable);
    expect(one.receiveData(Buffer.concat([event(2), event(3)]), () => {})).toBe(
      "ok",
    );
    expect(one.receiveData(event(5), () => {})).toBe("broken");
    expect(res.text).toBe([1, 2, 3].map((id) => event(id)).join(""));
  });

  test("a client that resumes gets what follows its last event", () => {
    const { res, relay: one } = relay("4");
    one.startAttempt();
    one.receiveHead(200, EVENTS, retryable);
    one.receiveData(Buffer.concat([event(4), event(5)]), () => {});
    expect(res.text).toBe(event(5).toString());
  });

  test("an upstream's head is only taken with its first event", () => {
    const { res, relay: one } = relay();
    one.startAttempt();
    one.receiveHead(200, EVENTS, retryable);
    expect(res.headersSent).toBe(false);
  });

  test("end broken where the last event is not whole", () => {
    const { relay: one } = relay();
    one.startAttempt();
    one.receiveHead(200, EVENTS, retryable);
    one.receiveData(Buffer.from("id: 1\nda"), () => {});
    expect(one.finish()?.cause).toBe("answer_broken");
  });
});

describe("heads", () => {
  test("a success without a digest is no answer", () => {
    const { relay: one } = relay();
    one.startAttempt();
    const failure = one.receiveHead(
      200,
      { ...EVENTS, hasDigest: false },
      retryable,
    );
    expect(failure?.verdict).toBe("may_have_run");
  });

  test("an upstream's own failure is tried elsewhere, or passed on", () => {
    const { res, relay: one } = relay();
    const head = { ...EVENTS, events: false };
    one.startAttempt();
    expect(one.receiveHead(500, head, retryable)?.verdict).toBe("ran");
    one.startAttempt();
    expect(one.receiveHead(500, head, { mayRetry: false })).toBeUndefined();
    expect(res.head).toEqual([500, ["X-Digest", "first"]]);
  });

  test("what an upstream has not run is said so", () => {
    const { relay: one } = relay();
    one.startAttempt();
    const failure = one.receiveHead(
      503,
      { ...EVENTS, notRun: true },
      retryable,
    );
    expect(failure?.verdict).toBe("not_run");
  });
});
