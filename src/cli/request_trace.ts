import { z } from "zod";

const LineSchema = z.looseObject({
  at: z.string(),
  kind: z.string(),
  vm: z.string(),
  req: z.string().optional(),
});
/** One line of a daemon's log. */
export type LogLine = z.infer<typeof LineSchema>;

/** All log lines of one request, in order of time. */
export type RequestTrace = Readonly<{
  req: string;
  lines: readonly LogLine[];
  /** Events of the daemons and upstreams involved, during the request. */
  around: readonly LogLine[];
  /** Number of lines that could not be parsed, including lines cut off at the end of a file. */
  torn: number;
  /** Number of lines that daemons omitted from their logs during the request, by kind. */
  leftOut: Readonly<Record<string, number>>;
}>;

/** Log kinds that explain decisions about any request. */
const CONTEXT_KINDS = new Set([
  "upstream",
  "leader",
  "leader_silent",
  "peer_down",
  "store_down",
  "store_up",
  "register_gap",
  "config",
  "resumed",
  "engine_pace",
  "own_speed",
  "start",
  "stop",
  "stopped",
]);
/** Most lines of `around`. */
const MAX_CONTEXT_LINES = 40;

/** Parses a line, ignoring text before its JSON object; undefined if the line is malformed. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    const parsed = LineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Collects the lines of one request from several logs; undefined if no line has its id. */
export function traceRequest(
  req: string,
  texts: readonly string[],
): RequestTrace | undefined {
  const all: LogLine[] = [];
  let torn = 0;
  for (const text of texts) {
    for (const row of text.split("\n")) {
      const line = parseLogLine(row);
      if (line !== undefined) all.push(line);
      else if (row.includes('"kind"')) torn += 1;
    }
  }
  const lines = all.filter((line) => line.req === req).sort(byTime);
  const [first] = lines;
  const last = lines.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const vms = new Set(lines.flatMap((line) => [line.vm, toText(line.by)]));
  const upstreams = new Set(lines.map((line) => toText(line.upstream)));
  const during = all.filter((line) =>
    line.at >= first.at && line.at <= last.at
  );
  const around = during.filter((line) =>
    CONTEXT_KINDS.has(line.kind) && line.req === undefined &&
    (line.kind === "upstream"
      ? upstreams.has(toText(line.upstream))
      : vms.has(line.vm))
  ).sort(byTime);
  const leftOut: Record<string, number> = {};
  for (const line of during) {
    if (line.kind !== "left_out" || !vms.has(line.vm)) continue;
    const kind = toText(line.of) ?? "?";
    leftOut[kind] = (leftOut[kind] ?? 0) + Number(line.count);
  }
  return {
    req,
    lines,
    around: around.slice(0, MAX_CONTEXT_LINES),
    torn,
    leftOut,
  };
}

/** Describes in one line how and why a request ended. */
export function describeCause(trace: RequestTrace): string {
  const last = trace.lines.at(-1);
  const failed = trace.lines.filter((line) => line.kind === "attempt_failed");
  const refused = trace.lines.find((line) =>
    line.kind === "refused" || line.kind === "turned_away"
  );
  const attempts = failed.map((line) =>
    `${toText(line.upstream)}: ${toText(line.cause)} (${toText(line.detail)})`
  );
  if (refused !== undefined) {
    const outcome = `${refused.kind}: ${toText(refused.code)}, verdict ${
      toText(refused.verdict) ?? "not_run"
    }`;
    return [outcome, ...attempts].join("; after ");
  }
  if (last?.kind === "answered") {
    return [
      `answered with ${toText(last.status)} in ${toText(last.ms)} ms`,
      ...attempts,
    ]
      .join("; after ");
  }
  if (last?.kind === "client_left") {
    return [`the client left after ${toText(last.events)} events`, ...attempts]
      .join("; after ");
  }
  return `no line says how it ended; the last one is ${last?.kind}: the daemon died, or the line was left out`;
}

function byTime(a: LogLine, b: LogLine): number {
  return a.at < b.at ? -1 : a.at > b.at ? 1 : 0;
}

function toText(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}
