import type { Service } from "../config/serving.ts";

/** Methods that a service never has to list: HTTP defines them as safe. */
const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];

/** Whether a call of this service may not be repeated. */
export function runsAtMostOnce(
  service: Service,
  method: string,
  path: string,
): boolean {
  if (SAFE_METHODS.includes(method)) return false;
  return service.once.some((pattern) => matches(pattern, method, path));
}

function matches(pattern: string, method: string, path: string): boolean {
  const [patternMethod, patternPath = ""] = pattern.split(" ", 2);
  if (patternMethod !== "*" && patternMethod !== method) return false;
  const wanted = patternPath.split("/").filter(Boolean);
  const found = (path.split("?", 1)[0] ?? "").split("/").filter(Boolean);
  if (wanted.length !== found.length) return false;
  return wanted.every((part, index) => part === "*" || part === found[index]);
}
