import { afterEach, beforeEach, expect, test } from "vitest";
import { LogService } from "../../../stand_ins/log_service/log_service.ts";
import { HttpLogClient } from "../../platform/http_log_client.ts";
import { createFakeContext } from "../fake_context.ts";
import { FOLDER, writeFolder } from "../fake_folder.ts";
import { apply, type ApplyOptions } from "./apply.ts";
import { history } from "./history.ts";

let service: LogService;
let url: string;

beforeEach(async () => {
  service = LogService.create();
  url = `http://${await service.listen()}`;
});

afterEach(() => service.close());

async function applyAs(
  author: string,
  share: number,
  patch: Partial<ApplyOptions> = {},
) {
  const { ctx } = createFakeContext({
    log: HttpLogClient.create(url),
    author,
    uuid: () => `${author}-${share}`,
  });
  const result = await apply(ctx, {
    dir: await writeFolder(FOLDER.replace("share = 3", `share = ${share}`)),
    force: false,
    wait: false,
    timeoutMs: 2_000,
    ...patch,
  });
  return result._unsafeUnwrap();
}

test("an append whose response is lost takes effect once at the log service", async () => {
  service.control({ reset_after_append: 2 });
  expect(await applyAs("ada", 3)).toMatchObject({
    exit: "ok",
    data: { outcome: "accepted", revision: 0 },
  });
  const { ctx } = createFakeContext({ log: HttpLogClient.create(url) });
  const { data } = (await history(ctx, { limit: 9 }))._unsafeUnwrap();
  expect(data).toMatchObject({ changes: [{ result: "accepted" }] });
});

test("of several concurrent changes to one base, exactly one is accepted and the others report its author", async () => {
  await applyAs("base", 3);
  const racers = ["ada", "bea", "cyd", "dee"];
  const reports = await Promise.all(
    racers.map((author, index) => applyAs(author, 10 + index, { base: 0 })),
  );
  const won = reports.findIndex(({ exit }) => exit === "ok");
  const lost = reports.filter((_, index) => index !== won);
  expect(lost.map(({ exit }) => exit)).toEqual(
    racers.slice(1).map(() => "conflict"),
  );
  for (const { data } of lost) {
    expect(data).toMatchObject({ winner: { author: racers[won] } });
  }
});

test("apply fails while the log service is down and succeeds after it recovers", async () => {
  await applyAs("ada", 3);
  service.control({ outage: "appends" });
  const { ctx } = createFakeContext({ log: HttpLogClient.create(url) });
  const options = {
    dir: await writeFolder(FOLDER.replace("share = 3", "share = 4")),
    force: false,
    wait: false,
    timeoutMs: 1_000,
  };
  const down = (await apply(ctx, options))._unsafeUnwrapErr();
  expect(down).toMatchObject({ code: "not_published", exit: "failure" });
  service.control({ outage: "none" });
  expect((await apply(ctx, options))._unsafeUnwrap().exit).toBe("ok");
});
