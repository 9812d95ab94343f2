import type { Service } from "../config/serving.ts";

/** Methods that HTTP defines as safe; calls with them may always be repeated. */
const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];

/** Whether a call of this service may run at most once, by the service's `once` patterns. */
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
  const patternParts = patternPath.split("/").filter(Boolean);
  const pathParts = (path.split("?", 1)[0] ?? "").split("/").filter(Boolean);
  if (patternParts.length !== pathParts.length) return false;
  return patternParts.every((part, index) =>
    part === "*" || part === pathParts[index]
  );
}
