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

/** A response that records what is written to it. */
class FakeResponse extends EventEmitter {
  readonly req = { method: "POST" };
  headersSent = false;
  head: unknown;
  text = "";
  ended = false;
  destroyed = false;

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

  destroy(): void {
    this.destroyed = true;
  }
}

function createRelay(lastEventId?: string) {
  const res = new FakeResponse();
  const response = ClientResponse.create(
    res as unknown as ServerResponse,
    () => false,
  );
  return { res, relay: ResponseRelay.create(response, { lastEventId }) };
}

function event(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
}

const retryable = { mayRetry: true };

describe("streams", () => {
  test("resume on another upstream under the head of the first response", () => {
    const { res, relay } = createRelay();
    relay.startAttempt();
    relay.receiveHead(200, EVENTS, retryable);
    relay.receiveData(
      Buffer.concat([event(1), Buffer.from("id: 2\nda")]),
      () => {},
    );
    relay.startAttempt();
    expect(relay.lastEventId).toBe("1");
    relay.receiveHead(
      200,
      { ...EVENTS, headers: ["X-Digest", "second"] },
      retryable,
    );
    relay.receiveData(Buffer.concat([event(2), event(3)]), () => {});
    expect(relay.finish()).toBeUndefined();
    expect(res.head).toEqual([200, ["X-Digest", "first"]]);
    expect(res.text).toBe([1, 2, 3].map((id) => event(id)).join(""));
  });

  test("relay no event twice, and none after a gap", () => {
    const { res, relay } = createRelay();
    relay.startAttempt();
    relay.receiveHead(200, EVENTS, retryable);
    relay.receiveData(Buffer.concat([event(1), event(2)]), () => {});
    relay.startAttempt();
    relay.receiveHead(200, EVENTS, retryable);
    expect(relay.receiveData(Buffer.concat([event(2), event(3)]), () => {}))
      .toBe("ok");
    expect(relay.receiveData(event(5), () => {})).toMatchObject({
      cause: "answer_broken",
      verdict: "may_have_run",
      detail: "An event does not follow event 3",
    });
    expect(res.text).toBe([1, 2, 3].map((id) => event(id)).join(""));
  });

  test("a client that resumes gets the events after its last event", () => {
    const { res, relay } = createRelay("4");
    relay.startAttempt();
    relay.receiveHead(200, EVENTS, retryable);
    relay.receiveData(Buffer.concat([event(4), event(5)]), () => {});
    expect(res.text).toBe(event(5).toString());
  });

  test("the head is held until the first event", () => {
    const { res, relay } = createRelay();
    relay.startAttempt();
    relay.receiveHead(200, EVENTS, retryable);
    expect(res.headersSent).toBe(false);
  });

  test("fail if the last event is incomplete", () => {
    const { relay } = createRelay();
    relay.startAttempt();
    relay.receiveHead(200, EVENTS, retryable);
    relay.receiveData(Buffer.from("id: 1\nda"), () => {});
    expect(relay.finish()?.cause).toBe("answer_broken");
  });
});

// Guards against a connection that stays open while the client waits for bytes that never come.
describe("a body that differs from its announced length breaks the connection off", () => {
  const announced = {
    ...EVENTS,
    isEventStream: false,
    headers: ["Content-Length", "4"],
  };

  test.each([["shorter", "abc", 3], ["longer", "abcde", 5]])(
    "%s",
    (_, text, bytes) => {
      const { res, relay } = createRelay();
      relay.startAttempt();
      relay.receiveHead(200, announced, retryable);
      const received = relay.receiveData(Buffer.from(text), () => {});
      const failure = received === "ok" ? relay.finish() : received;
      expect(failure).toMatchObject({
        cause: "answer_broken",
        detail: `The body has ${bytes} of 4 announced bytes`,
      });
      expect([res.destroyed, res.ended]).toEqual([true, false]);
    },
  );
});

describe("heads", () => {
  test("a success without a digest is a failure", () => {
    const { relay } = createRelay();
    relay.startAttempt();
    const failure = relay.receiveHead(
      200,
      { ...EVENTS, hasDigest: false },
      retryable,
    );
    expect(failure?.verdict).toBe("may_have_run");
  });

  test("a 500 of an upstream is retried, or relayed if no retry is left", () => {
    const { res, relay } = createRelay();
    const head = { ...EVENTS, isEventStream: false };
    relay.startAttempt();
    expect(relay.receiveHead(500, head, retryable)?.verdict).toBe("ran");
    relay.startAttempt();
    expect(relay.receiveHead(500, head, { mayRetry: false })).toBeUndefined();
    expect(relay.finish()).toBeUndefined();
    expect(res.head).toEqual([500, ["X-Digest", "first"]]);
  });

  test("a response that states that the request has not run has the verdict not_run", () => {
    const { relay } = createRelay();
    relay.startAttempt();
    const failure = relay.receiveHead(
      503,
      { ...EVENTS, notRun: true },
      retryable,
    );
    expect(failure?.verdict).toBe("not_run");
  });
});
