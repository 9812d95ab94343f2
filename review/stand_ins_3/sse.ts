import type { ServerResponse } from "node:http";

/** Sends a stream of events, `gapMs` apart. */
export function sendEvents(
  res: ServerResponse,
  id: string,
  options: Readonly<{ events: number; gapMs: number }>,
): void {
  const { events, gapMs } = options;
  res.setHeader("content-type", "text/event-stream");
  let sent = 0;
  const next = () => {
    if (res.destroyed) return;
    sent += 1;
    const name = sent === events ? "last" : String(sent);
    res.write(`id: ${sent}\ndata: ${id} ${name}\n\n`);
    if (sent === events) res.end();
    else setTimeout(next, gapMs);
  };
  setTimeout(next, gapMs);
}
