import { Agent, type Dispatcher } from "undici";

/** One streamed answer, as its client measured it. */
export type Timing = Readonly<{
  firstTokenMs: number;
  /** Times between two chunks with tokens. */
  gapsMs: readonly number[];
  tokens: number;
  totalMs: number;
}>;

const agent = new Agent({
  connections: 256,
  bodyTimeout: 0,
  headersTimeout: 0,
});
const MARK = new TextEncoder().encode("peg ");

/** Sends one call and counts the tokens of its streamed answer without parsing them. */
export async function timeStream(
  url: string,
  options: Readonly<{ headers: Record<string, string>; body: string }>,
): Promise<Timing> {
  const startedAt = performance.now();
  const { origin, pathname: path } = new URL(url);
  const res = await agent.request({
    origin,
    path,
    method: "POST" as Dispatcher.HttpMethod,
    headers: options.headers,
    body: options.body,
  });
  if (res.statusCode !== 200) {
    throw new Error(`Status ${res.statusCode}: ${await res.body.text()}`);
  }
  const gapsMs: number[] = [];
  let lastAt = 0;
  let firstTokenMs = 0;
  let tokens = 0;
  for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
    const now = performance.now();
    const found = countMarks(chunk);
    if (found === 0) continue;
    if (tokens === 0) firstTokenMs = now - startedAt;
    else gapsMs.push(now - lastAt);
    lastAt = now;
    tokens += found;
  }
  return {
    firstTokenMs,
    gapsMs,
    tokens,
    totalMs: performance.now() - startedAt,
  };
}

/** Ends all connections. */
export async function closeClient(): Promise<void> {
  await agent.destroy();
}

/** A mark that two chunks share is missed; that is below one in a hundred tokens. */
function countMarks(chunk: Uint8Array): number {
  let count = 0;
  const text = chunk as Uint8Array & {
    indexOf(value: Uint8Array, from: number): number;
  };
  for (
    let at = text.indexOf(MARK, 0);
    at >= 0;
    at = text.indexOf(MARK, at + 1)
  ) {
    count += 1;
  }
  return count;
}
