import { z } from "zod";

const LineSchema = z.looseObject({
  at: z.string(),
  kind: z.string(),
  vm: z.string(),
  req: z.string().optional(),
});
/** One line of a daemon's log. */
export type LogLine = z.infer<typeof LineSchema>;

/** Everything that logs say of one request, in order. */
export type RequestStory = Readonly<{
  req: string;
  lines: readonly LogLine[];
  /** What happened meanwhile to the daemons and upstreams that took part. */
  around: readonly LogLine[];
  /** Lines that could not be read, those cut at the end of a file included. */
  torn: number;
  /** Lines that were left out of the logs while the request ran, by kind. */
  leftOut: Readonly<Record<string, number>>;
}>;

/** Kinds that tell why a decision about any request came out as it did. */
const AROUND = new Set([
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
/** Lines that a story shows besides its own. */
const MAX_AROUND = 40;

/** Reads a line, whatever stands before its object; nothing comes of a torn one. */
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

/** Collects the story of one request from the texts of several logs; nothing where no line names it. */
export function storyOf(
  req: string,
  texts: readonly string[],
): RequestStory | undefined {
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
  const vms = new Set(lines.flatMap((line) => [line.vm, text(line.by)]));
  const upstreams = new Set(lines.map((line) => text(line.upstream)));
  const during = all.filter((line) =>
    line.at >= first.at && line.at <= last.at
  );
  const around = during.filter((line) =>
    AROUND.has(line.kind) && line.req === undefined &&
    (line.kind === "upstream"
      ? upstreams.has(text(line.upstream))
      : vms.has(line.vm))
  ).sort(byTime);
  const leftOut: Record<string, number> = {};
  for (const line of during) {
    if (line.kind !== "left_out" || !vms.has(line.vm)) continue;
    const kind = text(line.of) ?? "?";
    leftOut[kind] = (leftOut[kind] ?? 0) + Number(line.count);
  }
  return { req, lines, around: around.slice(0, MAX_AROUND), torn, leftOut };
}

/** Says in one line why a request ended as it did. */
export function causeOf(story: RequestStory): string {
  const last = story.lines.at(-1);
  const failed = story.lines.filter((line) => line.kind === "attempt_failed");
  const refused = story.lines.find((line) =>
    line.kind === "refused" || line.kind === "turned_away"
  );
  const attempts = failed.map((line) =>
    `${text(line.upstream)}: ${text(line.cause)} (${text(line.detail)})`
  );
  if (refused !== undefined) {
    const end = `${refused.kind}: ${text(refused.code)}, verdict ${
      text(refused.verdict) ?? "not_run"
    }`;
    return [end, ...attempts].join("; after ");
  }
  if (last?.kind === "answered") {
    return [
      `answered with ${text(last.status)} in ${text(last.ms)} ms`,
      ...attempts,
    ]
      .join("; after ");
  }
  if (last?.kind === "client_left") {
    return [`the client left after ${text(last.events)} events`, ...attempts]
      .join("; after ");
  }
  return `no line says how it ended; the last one is ${last?.kind}: the daemon died, or the line was left out`;
}

function byTime(a: LogLine, b: LogLine): number {
  return a.at < b.at ? -1 : a.at > b.at ? 1 : 0;
}

function text(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}
