import { expect, test } from "vitest";
import { createFakeContext, type FakeContext } from "../fake_context.ts";
import type { AppendFault } from "../fake_log_client.ts";
import { FOLDER, writeFolder } from "../fake_folder.ts";
import type { Report } from "../report.ts";
import { apply, type ApplyOptions } from "./apply.ts";
import { diff } from "./diff.ts";
import { history } from "./history.ts";
import { show } from "./show.ts";

async function applyText(
  fake: FakeContext,
  text: string,
  patch: Partial<ApplyOptions> = {},
) {
  return apply(fake.ctx, {
    dir: await writeFolder(text),
    force: false,
    wait: false,
    timeoutMs: 5_000,
    ...patch,
  });
}

function refusals(length: number): AppendFault[] {
  return Array.from({ length }, () => "refused");
}

const CHANGED_FOLDER = FOLDER.replace("share = 3", "share = 4");

test("apply publishes, waits for all daemons and names those that lag", async () => {
  const fake = createFakeContext();
  fake.admin.add({ a: -1, b: -1, c: -1 });
  let statusCalls = 0;
  fake.admin.onStatus = () => {
    statusCalls += 1;
    if (statusCalls === 6) fake.admin.setRevision("a", 0);
    if (statusCalls === 9) fake.admin.setRevision("b", 0);
  };
  const result = (await applyText(fake, FOLDER, { wait: true }))
    ._unsafeUnwrap();
  expect(result.exit).toBe("stragglers");
  expect(result.data).toMatchInlineSnapshot(`
    {
      "change": "change-1",
      "daemons": 3,
      "outcome": "accepted",
      "revision": 0,
      "stragglers": [
        {
          "id": "id-c",
          "reason": "has revision -1",
          "vm": "c",
        },
      ],
    }
  `);
  fake.admin.setRevision("c", 3);
  const again = (await applyText(fake, FOLDER, { wait: true }))._unsafeUnwrap();
  expect(again.exit).toBe("ok");
  expect(fake.log.values).toHaveLength(1);
});

test("the rejected one of two concurrent changes reports the author of the accepted one", async () => {
  const fake = createFakeContext();
  await applyText(fake, FOLDER);
  const eveFake = { ...fake, ctx: { ...fake.ctx, author: "eve" } };
  await applyText(eveFake, CHANGED_FOLDER, { base: 0 });
  const result = (await applyText(fake, FOLDER.replace("3", "5"), { base: 0 }))
    ._unsafeUnwrap();
  expect(result.exit).toBe("conflict");
  expect(result.data).toMatchInlineSnapshot(`
    {
      "base": 0,
      "change": "change-3",
      "outcome": "conflict",
      "winner": {
        "at": 1000,
        "author": "eve",
        "revision": 1,
      },
    }
  `);
});

test.each(
  [
    ["answer_lost", "answer_lost"],
    ["lost", "lost"],
    ["refused", "answer_lost"],
  ] as const,
)("an append that ends %s, then %s, takes effect once", async (...faults) => {
  const fake = createFakeContext();
  fake.log.faults = [...faults];
  const result = (await applyText(fake, FOLDER))._unsafeUnwrap();
  expect(result.exit).toBe("ok");
  const shown = (await show(fake.ctx, undefined))._unsafeUnwrap();
  expect(shown.data).toMatchObject({ revision: 0 });
});

test("an unknown outcome is reported, and a run with the same change id completes it", async () => {
  const fake = createFakeContext();
  fake.log.faults = ["answer_lost", ...refusals(99)];
  fake.log.readsLeft = 1;
  const unknown = (await applyText(fake, FOLDER))._unsafeUnwrap();
  expect(unknown).toMatchObject({
    exit: "unknown",
    data: { outcome: "unknown", change: "change-1" },
  });
  fake.log.readsLeft = Infinity;
  const again = (await applyText(fake, FOLDER, { change: "change-1" }))
    ._unsafeUnwrap();
  expect(again).toMatchObject({ exit: "ok", data: { revision: 0 } });
  expect(fake.log.values).toHaveLength(1);
  const reused = (await applyText(fake, CHANGED_FOLDER, { change: "change-1" }))
    ._unsafeUnwrapErr();
  expect(reused).toMatchObject({ code: "change_reused", exit: "bad_input" });
});

test("apply fails without publishing if the log refuses every append", async () => {
  const fake = createFakeContext();
  fake.log.faults = refusals(99);
  const err = (await applyText(fake, FOLDER))._unsafeUnwrapErr();
  expect(err).toMatchObject({ code: "not_published", exit: "failure" });
  expect(fake.log.values).toEqual([]);
});

const LOSSES = [
  ["the model", FOLDER.replaceAll("model.m", "model.n").replace("= m", "= n")],
  ["its group", FOLDER.replace(/\[group[^[]*/, "")],
  ["the group's version", FOLDER.replace("models = m", "models = m@2")],
  ["the group with live engines", FOLDER.replace("group.g", "group.h")],
] as const;

test.each(LOSSES)(
  "removing %s of a model in use is refused unless forced",
  async (_, text) => {
    const fake = createFakeContext();
    fake.admin.add({ a: 0 });
    await applyText(fake, FOLDER);
    const refused = (await applyText(fake, text))._unsafeUnwrapErr();
    expect(refused).toMatchObject({ code: "last_replica", exit: "bad_input" });
    expect(fake.log.values).toHaveLength(1);
    const forced = await applyText(fake, text, { force: true });
    expect(forced._unsafeUnwrap().exit).toBe("ok");
  },
);

test("a model that no team may use can be removed", async () => {
  const fake = createFakeContext();
  const other = "[model.o]\nversions = 1\nversion = 1\n";
  const used = FOLDER.replace("share = 3", "share = 3\nmodels = o") + other;
  await applyText(fake, used);
  const gone = used.replace(/\[group[^[]*/, "");
  expect((await applyText(fake, gone))._unsafeUnwrap().exit).toBe("ok");
});

test("history, show and diff report published configurations", async () => {
  const fake = createFakeContext();
  await applyText(fake, FOLDER);
  await applyText(fake, CHANGED_FOLDER);
  await applyText(fake, FOLDER, { base: 0 });
  const lines = async (report: Promise<{ _unsafeUnwrap(): Report }>) =>
    (await report)._unsafeUnwrap().lines;
  expect(await lines(history(fake.ctx, { limit: 5 }))).toMatchInlineSnapshot(`
    [
      "REVISION  RESULT    BASE  AT                        AUTHOR  CHANGE",
      "-         conflict  0     1970-01-01T00:00:01.000Z  ada     change-3",
      "1         accepted  0     1970-01-01T00:00:01.000Z  ada     change-2",
      "0         accepted  -1    1970-01-01T00:00:01.000Z  ada     change-1",
    ]
  `);
  expect(await lines(diff(fake.ctx, await writeFolder(FOLDER))))
    .toMatchInlineSnapshot(`
      [
        "against revision 1 by ada:",
        "~ [team.t] share: 4 -> 3",
      ]
    `);
  expect((await lines(show(fake.ctx, 0)))[0]).toMatchInlineSnapshot(
    `"revision 0 by ada at 1970-01-01T00:00:01.000Z"`,
  );
  const none = (await show(fake.ctx, 2))._unsafeUnwrapErr();
  expect(none).toMatchObject({ code: "no_such_revision", exit: "bad_input" });
});

test("show fails if records have expired without a checkpoint", async () => {
  const fake = createFakeContext();
  await applyText(fake, FOLDER);
  await applyText(fake, CHANGED_FOLDER);
  fake.log.firstOffset = 1;
  const err = (await show(fake.ctx, undefined))._unsafeUnwrapErr();
  expect(err).toMatchObject({ code: "state_unknown", exit: "failure" });
});
