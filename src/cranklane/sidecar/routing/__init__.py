"""Worker selection, request forwarding between sidecars, retries and outlier ejection."""
