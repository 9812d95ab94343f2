import { v7 } from "uuid";
import { type DaemonProgram, request, until } from "../../lib/fleet.ts";
import { expectSame, expectThat } from "../expect.ts";
import { Lab, TEAM } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";

const SAME_KEY_ROUNDS = 10;

/** Calls of the plain service; its own run count is the judge. */
export const CALL_CASES: readonly ProcessCase[] = [
  {
    name: "service killed, calls were not run",
    run: () => Lab.run({}, killService),
  },
  {
    name: "reservation sent through two daemons at once",
    run: () => Lab.run({}, sendTwice),
  },
  {
    name: "reservation while append answers are lost",
    run: () => Lab.run({}, loseAppendAnswers),
  },
  {
    name: "reservation with its daemon frozen between claim and send",
    run: () => Lab.run({}, freezeHolder),
  },
];

type Answer = Readonly<{ status: number; body: unknown }>;

async function killService(lab: Lab): Promise<string> {
  const [service] = lab.fleet.services;
  const [daemon] = lab.fleet.daemons;
  const stock = `http://${daemon!.clientAddress}/v1/services/orders/stock/pegs`;
  const headers = { "x-team": TEAM };
  expectSame("status", (await request(stock, { headers })).status, 200);
  await service!.program.kill();
  const { status, body } = await request(stock, { headers });
  const { verdict } = body as { verdict: string };
  expectThat(status >= 500, `status ${status} without a service`);
  expectSame("verdict", verdict, "not_run");
  return `status ${status}, verdict ${verdict}`;
}

async function sendTwice(lab: Lab): Promise<string> {
  const [one, two] = lab.fleet.daemons;
  for (let round = 0; round < SAME_KEY_ROUNDS; round += 1) {
    const key = v7();
    const answers = await Promise.all([
      reserve(one!, key),
      reserve(two!, key),
    ]);
    const good = answers.filter(({ status }) => status < 300);
    expectThat(good.length >= 1, `both failed: ${JSON.stringify(answers)}`);
    const last = await recorded(two!, key);
    expectSame("answer in the end", last.body, good[0]!.body);
    expectSame("runs", await runs(lab, key), 1);
  }
  return `${SAME_KEY_ROUNDS} keys, each ran once`;
}

async function loseAppendAnswers(lab: Lab): Promise<string> {
  const [one, two] = lab.fleet.daemons;
  const key = v7();
  await lab.controlLog({ reset_after_append: 1, error_after_append: 1 });
  const first = await reserve(one!, key);
  expectThat(first.status < 300, `status ${first.status}`);
  const second = await recorded(two!, key);
  expectSame("second answer", second.body, first.body);
  expectSame("runs", await runs(lab, key), 1);
  return "ran once, answered twice alike";
}

/** The claim's append reaches the log, its answer waits until the daemon is frozen. */
async function freezeHolder(lab: Lab): Promise<string> {
  const [holder, other] = lab.fleet.daemons;
  const key = v7();
  await lab.controlLog({ delay_ms: 1_500 });
  const first = reserve(holder!, key);
  await until(
    "the claim is on the log",
    async () => (await logText(lab)).includes(key),
  );
  holder!.program.signal("SIGSTOP");
  await lab.controlLog({ delay_ms: 0 });
  const meanwhile = await reserve(other!, key);
  const ranMeanwhile = await runs(lab, key);
  holder!.program.signal("SIGCONT");
  const answer = await first;
  const last = await reserve(other!, key);
  const ran = await runs(lab, key);
  expectThat(ran <= 1, `ran ${ran} times`);
  expectThat(ranMeanwhile <= 1, `ran ${ranMeanwhile} times meanwhile`);
  const said = [meanwhile, answer, last].map(({ status }) => status);
  if (said.some((status) => status < 300)) expectSame("runs", ran, 1);
  return `ran ${ran} time(s); statuses ${said.join(", ")}`;
}

/** Sends a reservation again until the answer of its one run has reached this daemon. */
async function recorded(daemon: DaemonProgram, key: string): Promise<Answer> {
  let answer: Answer | undefined;
  await until(`${daemon.vm} knows the answer`, async () => {
    answer = await reserve(daemon, key);
    return (answer.body as { code?: string }).code !== "claim_pending";
  });
  return answer!;
}

async function reserve(
  daemon: DaemonProgram,
  key: string,
): Promise<Answer> {
  const base = `http://${daemon.clientAddress}/v1/services/orders`;
  const headers = { "x-team": TEAM, "idempotency-key": key };
  const body = { item: "pegs", quantity: 10 };
  const options = { method: "POST", headers, body };
  return await request(`${base}/reservations`, options);
}

async function runs(lab: Lab, key: string): Promise<number> {
  const [service] = lab.fleet.services;
  const res = await request(`http://${service!.address}/control/runs`);
  const { by_key: byKey } = res.body as { by_key: Record<string, number> };
  return byKey[key] ?? 0;
}

async function logText(lab: Lab): Promise<string> {
  const url = `${lab.fleet.logUrl}/streams/claims/records?from=0&limit=1000`;
  return JSON.stringify((await request(url)).body);
}
