import {
  BROKEN,
  Daemon,
  HELD,
  loopbackIp,
  NOT_RUN,
  Platform,
  requestText,
  runCase,
  send,
  sleep,
  statusOf,
  TROUBLE,
} from "../stand_ins_2/harness.ts";
import { CrashingWorker } from "../stand_ins_2/crashing_worker.ts";

const DAEMONS = 3;
/** As in the smallest deployment. */
const ENGINES = 16;
const SLOTS = 11;
const STABLE_WINDOW_MS = 3_000;
/** Parts of a prompt, and the place of the one that crashes engines; the last one is the request's own. */
const PARTS = 40;
const DEADLY_PLACE = 36;
const DEADLY_PART = "deadbeef";
const PART_TOKENS = 20;
/** Prompts a second, the share of those with the deadly part, and for how long they come. */
const PROMPTS_PER_S = 20;
const DEADLY_SHARE = 0.05;
const TROUBLE_S = 22;
const DEADLINE_MS = 10_010;
/** Crashes after which, and requests beyond which, the rule is broken. */
const COUNTED_CRASHES = 5;
const MAX_LATE = 3;

/** Parts of the nth prompt: all share those before their own, but for the deadly one. */
function partsOf(n: number, isDeadly: boolean): string {
  const parts: string[] = [];
  for (let place = 1; place < PARTS; place += 1) {
    const isHere = isDeadly && place === DEADLY_PLACE;
    const id = isHere ? DEADLY_PART : (0x100 + place).toString(16);
    parts.push(`${id}:${PART_TOKENS}`);
  }
  return [...parts, `${(0x10000 + n).toString(16)}:100`].join(",");
}

await runCase(async (record) => {
  const platform = new Platform();
  platform.publish();
  const crashedAt: number[] = [];
  for (let i = 0; i < ENGINES; i += 1) {
    await CrashingWorker.start(platform, {
      service: "assistant-pool",
      name: `i-${i}`,
      slots: SLOTS,
      serve: ({ headers }, worker) => {
        const parts = headers.get("x-prompt-prefix") ?? "";
        if (!parts.includes(DEADLY_PART)) return "id: 1\ndata: whole\n\n";
        crashedAt.push(Date.now());
        const id = headers.get("x-request-id");
        record.line(`${worker.id} begins to write on ${id}, and crashes`);
        return "crash";
      },
    });
  }
  const seeds = Array.from({ length: DAEMONS }, (_, i) => loopbackIp(i + 1));
  const daemons: Daemon[] = [];
  for (let i = 1; i <= DAEMONS; i += 1) {
    const store = await platform.store.openEndpoint(() => "serves");
    daemons.push(Daemon.start({ name: `front-${i}`, store, seeds }));
  }
  for (const daemon of daemons) if (!await daemon.ready()) return NOT_RUN;
  // From here on all machines are in touch.
  await sleep(STABLE_WINDOW_MS + 1_000);

  const statuses = new Map<string, number>();
  const ask = async (n: number, isDeadly: boolean) => {
    const usage = `${(PARTS - 1) * PART_TOKENS + 100},80`;
    const answer = await send(daemons[n % DAEMONS]!.front, {
      text: requestText({
        path: "/ask/x",
        id: `r${n}`,
        body: `prompt ${n}`,
        deadlineMs: DEADLINE_MS,
        headers: [
          "X-Model: m",
          `X-Token-Usage: ${usage}`,
          `X-Prompt-Prefix: ${partsOf(n, isDeadly)}`,
        ],
      }),
      timeoutMs: DEADLINE_MS,
    });
    const kind = isDeadly ? "with the part" : "sound";
    const key = `${kind}: ${statusOf(answer)}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
    if (isDeadly) record.line(`r${n} is answered with ${statusOf(answer)}`);
  };
  const asked: Promise<void>[] = [];
  const calmUntil = 2 * PROMPTS_PER_S;
  const every = Math.round(1 / DEADLY_SHARE);
  const last = calmUntil + TROUBLE_S * PROMPTS_PER_S;
  for (let n = 1; n <= last; n += 1) {
    asked.push(ask(n, TROUBLE && n > calmUntil && n % every === 0));
    await sleep(1_000 / PROMPTS_PER_S);
  }
  await Promise.all(asked);
  for (const [key, count] of statuses) record.line(`${key}, ${count} requests`);
  if ((statuses.get("sound: 200") ?? 0) < last / 4) return NOT_RUN;
  const countedAt = crashedAt[COUNTED_CRASHES - 1] ?? Infinity;
  const late = crashedAt.filter((at) => at > countedAt + STABLE_WINDOW_MS);
  record.line(
    `${crashedAt.length} crashes; ${late.length} requests with the part reached engines later than ${STABLE_WINDOW_MS} ms after the fifth`,
  );
  return late.length > MAX_LATE ? BROKEN : HELD;
});
