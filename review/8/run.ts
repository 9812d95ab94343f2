import {
  answerReport,
  BROKEN,
  Daemon,
  HELD,
  KeptConnection,
  NOT_RUN,
  Platform,
  requestText,
  runCase,
  sleep,
  startWorker,
  TROUBLE,
} from "../stand_ins_2/harness.ts";

/** As in the smallest deployment. */
const ENGINES = 16;
const SLOTS = 11;
const MEMORY_MB = 272;
/** Clients that come at once, each with one request. */
const CLIENTS = 300;
const CLIENTS_PER_STEP = 8;
const BODY = "x".repeat(11_000);
const EVENTS = 12;
const EVENT_GAP_MS = 20;
/** What an engine in trouble sends without end after its first events. */
const SOUND_EVENTS = 2;
const PIECE = "x".repeat(16 << 10);
const PIECE_GAP_MS = 40;
const WATCH_MS = 12_000;
const SAMPLE_MS = 25;

function headersOf(n: number): string[] {
  const parts = `5c1e07a2:800,${n.toString(16)}:660`;
  return ["X-Model: m", "X-Token-Usage: 1460,80", `X-Prompt-Prefix: ${parts}`];
}

await runCase(async (record) => {
  const platform = new Platform();
  platform.publish();
  let inTrouble = false;
  let running = 0;
  let mostRunning = 0;
  let runs = 0;
  for (let i = 0; i < ENGINES; i += 1) {
    const born = Date.now();
    const name = `i-${i}`;
    const address = await startWorker(async (req) => {
      if (answerReport(req, born)) return;
      const { headers, socket } = req;
      const id = headers.get("x-request-id");
      const from = Number(headers.get("last-event-id") ?? 0);
      runs += 1;
      running += 1;
      mostRunning = Math.max(mostRunning, running);
      socket.once("close", () => running -= 1);
      const chunk = (text: string) =>
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      socket.write(
        [
          "HTTP/1.1 200 OK",
          `X-Request-Id: ${id}`,
          `X-Response-Seal: ${name}.${runs}`,
          "Content-Type: text/event-stream",
          "Transfer-Encoding: chunked",
          "",
          "",
        ].join("\r\n"),
      );
      for (let n = from + 1; n <= EVENTS; n += 1) {
        while (inTrouble && n > SOUND_EVENTS && !socket.destroyed) {
          if (socket.writableLength === 0) chunk(PIECE);
          await sleep(PIECE_GAP_MS);
        }
        if (socket.destroyed) return;
        chunk(`id: ${n}\ndata: piece ${n}\n\n`);
        await sleep(EVENT_GAP_MS);
      }
      chunk("");
    });
    platform.register(name, {
      service: "assistant-pool",
      address,
      slots: SLOTS,
    });
  }
  const store = await platform.store.openEndpoint(() => "serves");
  const daemon = Daemon.start({ name: "front-1", store, memoryMb: MEMORY_MB });
  if (!await daemon.ready()) return NOT_RUN;

  const clients: KeptConnection[] = [];
  const ask = (id: string, n: number) => {
    const client = KeptConnection.open(daemon.front);
    const headers = headersOf(n);
    client.write(requestText({ path: "/ask/x", id, headers, body: BODY }));
    return client;
  };
  // Calm requests before it, so that the shared part is known to be sound.
  for (let n = 0; n < 20; n += 1) {
    clients.push(ask(`before-${n}`, n));
    await sleep(50);
  }
  await sleep(1_500);
  for (const client of clients.splice(0)) client.destroy();
  record.line(`before: ${JSON.stringify(daemon.memory())}`);

  inTrouble = TROUBLE;
  for (let n = 0; n < CLIENTS; n += 1) {
    clients.push(ask(`r${n}`, n));
    if (n % CLIENTS_PER_STEP === 0) await sleep(10);
  }
  record.line(`${CLIENTS} requests sent`);
  let peakMb = 0;
  for (let ms = 0; ms < WATCH_MS && daemon.running; ms += SAMPLE_MS) {
    await sleep(SAMPLE_MS);
    const { nowMb = 0 } = daemon.memory() ?? {};
    peakMb = Math.max(peakMb, nowMb);
    if (ms % 500 === 0) {
      record.line(`${running} streams open, ${Math.round(nowMb)} MB resident`);
    }
    if (nowMb <= MEMORY_MB) continue;
    // The platform kills a process that exceeds its memory.
    record.line(
      `${
        Math.round(nowMb)
      } MB resident of ${MEMORY_MB} MB: the platform kills ${daemon.name}`,
    );
    daemon.signal("SIGKILL");
    await daemon.ended;
    await sleep(200);
    break;
  }
  const ends = new Map<string, number>();
  for (const { text, end } of clients) {
    const events = text.match(/^id:/gm)?.length ?? 0;
    const key = `status ${text.slice(9, 12)}, ${events} events, ${end}`;
    ends.set(key, (ends.get(key) ?? 0) + 1);
  }
  for (const [key, count] of ends) record.line(`${count} clients: ${key}`);
  record.line(
    `peak ${
      peakMb.toFixed(1)
    } MB, ${runs} runs, at most ${mostRunning} at once`,
  );
  if (mostRunning < ENGINES * SLOTS / 2) return NOT_RUN;
  return peakMb > MEMORY_MB ? BROKEN : HELD;
});
