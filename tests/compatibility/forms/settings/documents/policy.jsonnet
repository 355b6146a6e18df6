// Every section of a policy document, none with its default.
local front = import 'front.jsonnet';
{ [name]: front[name] for name in ['tariffs', 'customers', 'permits', 'functions'] }
{ adoption: { silent: 'stop' } }
