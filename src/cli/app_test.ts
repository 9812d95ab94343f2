import { dryRun, runSafely } from "cmd-ts";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { createApp, createVerbs } from "./app.ts";
import { createFakeContext } from "./fake_context.ts";
import { FOLDER, writeFolder } from "./fake_folder.ts";
import { Output } from "./output.ts";

const VERBS = Object.keys(createVerbs(() => Promise.resolve(0)));
const LEAF_VERBS = [
  ...VERBS.filter((verb) => verb !== "record"),
  "record export",
  "record verify",
];

function createRun() {
  const fake = createFakeContext();
  const out = new PassThrough();
  const output = Output.create(out, out);
  const app = createApp(async (args, verb) => {
    const result = await verb(fake.ctx);
    return result.match(
      (report) => output.report(report, args.json),
      (err) => output.error(err, args.json),
    );
  });
  return { app, fake, text: () => String(out.read() ?? "") };
}

test.each(LEAF_VERBS)(
  "%s --help shows arguments, an example and the exit codes",
  async (verb) => {
    const { app } = createRun();
    const help = await dryRun(app, [...verb.split(" "), "--help"]);
    if (help._tag !== "error") throw new Error("help did not end the run");
    const text = help.error;
    for (
      const part of [
        "--json",
        "EXAMPLES",
        "EXIT CODES:\n  0 - done",
        "parsleyfield ",
      ]
    ) {
      expect(text.toUpperCase()).toContain(part.toUpperCase());
    }
  },
);

test("the tool's own help lists every verb", async () => {
  const { app } = createRun();
  const help = await dryRun(app, ["--help"]);
  if (help._tag !== "error") throw new Error("help did not end the run");
  for (const verb of VERBS) expect(help.error).toContain(verb);
});

test("an unknown verb or flag, a malformed URL or address is refused", async () => {
  const { app } = createRun();
  for (
    const args of [
      ["chek", "x"],
      ["check", "--jsn", "x"],
      ["show", "--log", "10.0.0.5"],
      ["status", "--entry", "http://10.0.0.5:80"],
    ]
  ) {
    expect((await runSafely(app, args))._tag).toBe("error");
  }
});

async function runText(args: readonly string[]) {
  const { app, text } = createRun();
  const result = await runSafely(app, [...args]);
  if (result._tag !== "ok") throw new Error(result.error.config.message);
  return { code: await result.value.value, text: text() };
}

test("a folder with three kinds of errors exits 2 and lists every error with file and line", async () => {
  const dir = await writeFolder(
    `${FOLDER}[limits]\nmax_attempts = many\n[team.u]\nshare = 1\nservice = 4\nservices = x\n`,
  );
  const { code, text } = await runText(["check", dir]);
  expect(code).toBe(2);
  expect(text.replace(dir, "DIR")).toMatchInlineSnapshot(`
    "all.ini:15: [limits] max_attempts: wrong_type: found "many"; allowed: a whole number from 1 to 10
    all.ini:18: [team.u] service: unknown_key: found "service"; allowed: share, token_digests, models, services (nearest: services)
    all.ini:19: [team.u] services: dangling_reference: found "x"; allowed: none is declared
    bad_folder: DIR has 3 errors
    "
  `);
  const json = await runText(["check", "--json", dir]);
  const { error, exit } = JSON.parse(json.text);
  expect(exit).toBe(2);
  expect(error.errors.map((one: { code: string }) => one.code)).toEqual([
    "wrong_type",
    "unknown_key",
    "dangling_reference",
  ]);
});

test("a valid folder exits 0", async () => {
  const { code } = await runText(["check", await writeFolder(FOLDER)]);
  expect(code).toBe(0);
});

test("progress is shown only on a terminal and cleared before the report", () => {
  const plain = new PassThrough();
  Output.create(plain, plain).progress("half");
  expect(plain.read()).toBe(null);
  const terminal = Object.assign(new PassThrough(), { isTTY: true });
  const output = Output.create(terminal, terminal);
  output.progress("half");
  output.report({ exit: "ok", data: {}, lines: ["done"] }, false);
  expect(String(terminal.read())).toBe("\r\u001b[2Khalf\r\u001b[2Kdone\n");
});
