import { z } from "zod";

/** Why members were left out, while `parseReporting` runs. */
let leftOut: string[] = [];

/** Schema of a list whose members that don't fit are left out, so that the others hold. */
export function soundList<T extends z.ZodType>(schema: T) {
  return z.array(z.unknown()).transform((members) =>
    members.flatMap((member): z.output<T>[] => {
      const parsed = schema.safeParse(member);
      if (parsed.success) return [parsed.data];
      leftOut.push(z.prettifyError(parsed.error));
      return [];
    })
  ).readonly();
}

/** Runs a parse, which is synchronous; reports the members that it left out. */
export function parseReporting<T>(
  parse: () => T,
  report: (detail: string) => void,
): T {
  leftOut = [];
  const value = parse();
  if (leftOut.length > 0) report(leftOut.join("; "));
  leftOut = [];
  return value;
}
