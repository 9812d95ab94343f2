import { Buffer } from "node:buffer";
import { setImmediate } from "node:timers/promises";
import { describe, expect, test } from "vitest";
import { Relay } from "../../stand_ins/relay/relay.ts";
import type { ServiceFault } from "../../stand_ins/service/control.ts";
import { Service } from "../../stand_ins/service/service.ts";
import type { RequestId } from "../core/id.ts";
import { HttpServiceClient } from "./http_service_client.ts";
import type { ServiceCall, ServiceClient } from "./service_client.ts";

type Fixture = Readonly<{
  service: Service;
  relay: Relay;
  client: ServiceClient;
  close: () => Promise<void>;
}>;

const ADAPTERS: Record<string, (address: string) => ServiceClient> = {
  HttpServiceClient: (address) => HttpServiceClient.create(address),
};

const REQUEST = "r1" as RequestId;
const LONG_TIMEOUT = { timeoutMs: 20_000, maxBytes: 10_000 };
/** Ends a call that stays silent; long enough for a busy machine to receive a large body. */
const SILENCE_TIMEOUT = { timeoutMs: 8_000, maxBytes: 10_000 };
const SHORT_TIMEOUT = { timeoutMs: 1_000, maxBytes: 10_000 };

const LOOKUP: ServiceCall = {
  request: REQUEST,
  method: "GET",
  path: "/stock/wire",
  body: new Uint8Array(),
};
const ORDER: ServiceCall = {
  request: REQUEST,
  method: "POST",
  path: "/orders",
  contentType: "application/json",
  key: "k1",
  body: Buffer.from('{"item":"wire","quantity":3}'),
};
const LARGE_ORDER: ServiceCall = {
  ...ORDER,
  body: Buffer.concat([ORDER.body, Buffer.alloc(4 * 1024 * 1024, " ")]),
};
const CALLS = Object.entries({ LOOKUP, ORDER, LARGE_ORDER });

async function start(
  createClient: (address: string) => ServiceClient,
): Promise<Fixture> {
  const service = Service.create();
  const relay = Relay.create({ target: await service.listen() });
  const client = createClient(await relay.listen());
  const close = async () => {
    await client.close();
    await relay.close();
    await service.close();
  };
  return { service, relay, client, close };
}

type FailureCase = Readonly<{
  name: string;
  inject: (fixture: Fixture) => unknown;
  options?: typeof LONG_TIMEOUT;
  /** Error code, verdict, and how often the service ran the call. */
  expected: readonly [code: string, verdict: string, runs: number];
}>;

function serviceFaultCase(
  fault: ServiceFault,
  expected: FailureCase["expected"],
  options = LONG_TIMEOUT,
): FailureCase {
  const inject = ({ service }: Fixture) => service.control({ fault });
  return { name: fault, inject, options, expected };
}

const FAILURE_CASES: readonly FailureCase[] = [
  {
    name: "connection refused",
    inject: ({ relay }) => relay.setNew("refuse"),
    expected: ["connect_failed", "not_run", 0],
  },
  {
    name: "connection accepted, then silent",
    inject: ({ relay }) => relay.setNew("freeze"),
    options: SHORT_TIMEOUT,
    expected: ["silent", "may_have_run", 0],
  },
  {
    name: "crash",
    inject: ({ service }) => service.control({ crash: true }),
    expected: ["broken", "may_have_run", 0],
  },
  {
    name: "response too large",
    inject: () => {},
    options: { ...LONG_TIMEOUT, maxBytes: 5 },
    expected: ["too_large", "may_have_run", 1],
  },
  serviceFaultCase("refuse", ["refused", "not_run", 0]),
  serviceFaultCase("reset_at_head", ["broken", "may_have_run", 0]),
  serviceFaultCase("reset_before_effect", ["broken", "may_have_run", 0]),
  serviceFaultCase("reset_after_effect", ["broken", "may_have_run", 1]),
  serviceFaultCase("close_after_effect", ["broken", "may_have_run", 1]),
  serviceFaultCase("half_answer", ["broken", "may_have_run", 1]),
  serviceFaultCase("unframed_answer", ["broken", "may_have_run", 1]),
  serviceFaultCase("garbage", ["broken", "may_have_run", 1]),
  serviceFaultCase(
    "silence_before_effect",
    ["silent", "may_have_run", 0],
    SHORT_TIMEOUT,
  ),
  serviceFaultCase(
    "silence_after_effect",
    ["silent", "may_have_run", 1],
    SILENCE_TIMEOUT,
  ),
];

const RESET_BEFORE_SEND: FailureCase["expected"] = [
  "connect_failed",
  "not_run",
  0,
];
const RESET_AFTER_SEND: FailureCase["expected"] = ["broken", "may_have_run", 0];

const BODY_FAILURE_CASES: readonly FailureCase[] = [
  serviceFaultCase("reset_in_body", ["broken", "may_have_run", 0]),
];

describe.each(Object.entries(ADAPTERS))("%s", (_name, createClient) => {
  async function outcome(
    call: ServiceCall,
    failure: Pick<FailureCase, "inject" | "options">,
  ): Promise<FailureCase["expected"]> {
    const fixture = await start(createClient);
    await failure.inject(fixture);
    const result = await fixture.client.call(
      call,
      failure.options ?? LONG_TIMEOUT,
    );
    await fixture.close();
    const { code, verdict } = result._unsafeUnwrapErr();
    return [code, verdict, fixture.service.runs().total];
  }

  describe.each(CALLS)("%s", (name, call) => {
    const breaks = name === "LOOKUP"
      ? FAILURE_CASES
      : [...FAILURE_CASES, ...BODY_FAILURE_CASES];
    test.concurrent.each(breaks)("$name", async (point) => {
      expect(await outcome(call, point)).toEqual(point.expected);
    });

    test("a call with a complete response ran once", async () => {
      const fixture = await start(createClient);
      const result = await fixture.client.call(call, LONG_TIMEOUT);
      await fixture.close();
      expect(result.isOk()).toBe(true);
      expect(fixture.service.runs().by_request).toEqual({ [REQUEST]: 1 });
    });
  });

  test.each(CALLS)(
    "%s: a call whose connection is reset at once is not run",
    async (_name, call) => {
      const set = ({ relay }: Fixture) => relay.setNew("reset");
      const ends = await outcome(call, { inject: set });
      // The reset arrives before or after the first byte is written.
      expect([RESET_BEFORE_SEND, RESET_AFTER_SEND]).toContainEqual(ends);
    },
  );

  test("a call that exceeds its time-out may still run", async () => {
    const fixture = await start(createClient);
    fixture.service.control({ delay_ms: 2_000 });
    const result = await fixture.client.call(ORDER, SHORT_TIMEOUT);
    expect(result._unsafeUnwrapErr().verdict).toBe("may_have_run");
    await expect.poll(() => fixture.service.runs().by_key, { timeout: 20_000 })
      .toEqual({ k1: 1 });
    await fixture.close();
  });

  test("a connection that freezes during a call does not affect the next call", async () => {
    const fixture = await start(createClient);
    fixture.service.control({ delay_ms: 200 });
    const frozen = fixture.client.call(ORDER, SHORT_TIMEOUT);
    await expect.poll(() => fixture.relay.counts().open).toBe(1);
    fixture.relay.freezeOpen();
    const next = await fixture.client.call(LOOKUP, LONG_TIMEOUT);
    expect(next.isOk()).toBe(true);
    expect((await frozen)._unsafeUnwrapErr().code).toBe("silent");
    await fixture.close();
  });

  test("connections that freeze while idle are not used by later calls", async () => {
    const fixture = await start(createClient);
    await fixture.client.call(ORDER, LONG_TIMEOUT);
    await setImmediate();
    fixture.relay.freezeOpen();
    const next = await fixture.client.call(ORDER, LONG_TIMEOUT);
    await fixture.close();
    expect(next.isOk()).toBe(true);
  });

  test("an error status after the effect is a complete response, not a refusal", async () => {
    const fixture = await start(createClient);
    fixture.service.control({ fault: "error_after_effect" });
    const answer = (await fixture.client.call(ORDER, LONG_TIMEOUT))
      ._unsafeUnwrap();
    await fixture.close();
    expect([answer.status, fixture.service.runs().total]).toEqual([503, 1]);
  });

  test("a call with a path that is invalid in HTTP is refused", async () => {
    const fixture = await start(createClient);
    const path = "/stock/a b\r\nx: y";
    const result = await fixture.client.call({ ...LOOKUP, path }, LONG_TIMEOUT);
    await fixture.close();
    expect(result._unsafeUnwrapErr()).toMatchObject({
      code: "refused",
      verdict: "not_run",
    });
  });
});
