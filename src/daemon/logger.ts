import winston from "winston";

/** Writes one JSON object per line to standard output. */
export type Logger = winston.Logger;

/** Creates a logger that adds `fields` to every line. */
export function createLogger(
  level: string,
  fields: Readonly<Record<string, string>>,
): Logger {
  return winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [new winston.transports.Console()],
  });
}
